"""What a gateway does with each frame about a generation that it reads."""

import functools
from typing import Protocol

from bronzeslip import logs
from bronzeslip.transport import codec
from bronzeslip.transport.frames import generation as frames

logger = logs.get_logger(__name__)

Progress = frames.Tokens | frames.GenerationFinished


class FrameHandler(Protocol):
    """Reader of one generation."""

    def on_accepted(self) -> None:
        """Notes that the sidecar has taken the generation on."""

    def on_tokens(self, frame: frames.Tokens) -> Progress | None:
        """Returns the tokens that are to be passed on."""

    def on_finished(self, frame: frames.GenerationFinished) -> Progress | None:
        """Returns the end if no token is missing before it."""

    def on_refused(self, frame: frames.GenerationRefused) -> None:
        """Raises what a refusal means at this point."""

    def on_lost(self, frame: frames.GenerationLost) -> None:
        """Raises that the generation is lost."""


@functools.singledispatch
def handle(frame: codec.Frame, _: FrameHandler) -> Progress | None:
    """Hands a frame to a handler.

    Args:
        frame: Frame about the handler's generation.

    Returns:
        What is to be passed on to the caller, if anything.
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
