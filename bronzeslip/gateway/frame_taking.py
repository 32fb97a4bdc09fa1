"""What a gateway does with each frame about a generation that it reads."""

import functools
from typing import Protocol

from bronzeslip import logs
from bronzeslip.transport import codec
from bronzeslip.transport.frames import generation as frames

logger = logs.get_logger(__name__)

Progress = frames.Tokens | frames.GenerationFinished


class FrameTaker(Protocol):
    """Reader of one generation."""

    def take_accepted(self) -> None:
        """Notes that the sidecar has taken the generation on."""

    def take_tokens(self, frame: frames.Tokens) -> Progress | None:
        """Returns the tokens that are to be passed on."""

    def take_finished(
        self, frame: frames.GenerationFinished
    ) -> Progress | None:
        """Returns the end if no token is missing before it."""

    def take_refused(self, frame: frames.GenerationRefused) -> None:
        """Raises what a refusal means at this point."""

    def take_lost(self, frame: frames.GenerationLost) -> None:
        """Raises that the generation is lost."""


@functools.singledispatch
def take(frame: codec.Frame, _: FrameTaker) -> Progress | None:
    """Hands a frame to a reader.

    Args:
        frame: Frame about the reader's generation.

    Returns:
        What is to be passed on to the caller, if anything.
    """
    logger.warning("generation.unexpected", frame=type(frame).__name__)
    return None


@take.register
def _(_: frames.GenerationAccepted, reader: FrameTaker) -> None:
    reader.take_accepted()


@take.register
def _(frame: frames.Tokens, reader: FrameTaker) -> Progress | None:
    return reader.take_tokens(frame)


@take.register
def _(frame: frames.GenerationFinished, reader: FrameTaker) -> Progress | None:
    return reader.take_finished(frame)


@take.register
def _(frame: frames.GenerationRefused, reader: FrameTaker) -> None:
    reader.take_refused(frame)


@take.register
def _(frame: frames.GenerationLost, reader: FrameTaker) -> None:
    reader.take_lost(frame)
