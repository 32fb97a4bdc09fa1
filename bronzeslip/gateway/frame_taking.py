"""Dispatch of received frames to the handler of a generation."""

import functools
from typing import Protocol

from bronzeslip import logs
from bronzeslip.transport import codec
from bronzeslip.transport.frames import generation as frames

logger = logs.get_logger(__name__)

Progress = frames.Tokens | frames.GenerationFinished


class FrameHandler(Protocol):
    """Handles the frames of one generation."""

    def on_accepted(self) -> None:
        """Handles the acceptance of the generation by the sidecar."""

    def on_tokens(self, frame: frames.Tokens) -> Progress | None:
        """Returns the tokens to relay, or None if there are none."""

    def on_finished(self, frame: frames.GenerationFinished) -> Progress | None:
        """Returns the frame, or None if tokens before the end are missing."""

    def on_refused(self, frame: frames.GenerationRefused) -> None:
        """Raises the error that a refusal stands for."""

    def on_lost(self, frame: frames.GenerationLost) -> None:
        """Raises an error, as the generation is lost."""


@functools.singledispatch
def handle(frame: codec.Frame, _: FrameHandler) -> Progress | None:
    """Passes a frame to the handler of its generation.

    Args:
        frame: Frame of the handler's generation.

    Returns:
        The frame to relay to the caller, or None.
    """
    logger.warning("generation.unexpected", frame=type(frame).__name__)
    return None


@handle.register
def _(_: frames.GenerationAccepted, handler: FrameHandler) -> None:
    handler.on_accepted()


@handle.register
def _(frame: frames.Tokens, handler: FrameHandler) -> Progress | None:
    return handler.on_tokens(frame)


@handle.register
def _(
    frame: frames.GenerationFinished, handler: FrameHandler
) -> Progress | None:
    return handler.on_finished(frame)


@handle.register
def _(frame: frames.GenerationRefused, handler: FrameHandler) -> None:
    handler.on_refused(frame)


@handle.register
def _(frame: frames.GenerationLost, handler: FrameHandler) -> None:
    handler.on_lost(frame)
