"""State of one generation in its sidecar."""

import asyncio
from collections.abc import Callable
import enum
import time

from bronzeslip import listeners
from bronzeslip.generation import buffer
from bronzeslip.transport.frames import generation as frames

TerminalFrame = (
    frames.GenerationFinished | frames.GenerationRefused | frames.GenerationLost
)


class RunState(enum.Enum):
    """Progress of a generation."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class GenerationRun:
    """Tokens and outcome of one run of a generation.

    Attributes:
        start: Request of the generation.
        state: Progress of the generation.
        buffer: Tokens buffered for readers.
        terminal: Outcome, or None until there is one.
        ended_at_s: Time of the end on the monotonic clock, in seconds.
        no_readers: Set while the generation has no readers.
        no_readers_since_s: Time since which there are no readers on the
            monotonic clock, in seconds, or None while there are some.
    """

    def __init__(self, start: frames.StartGeneration) -> None:
        self.start = start
        self.state = RunState.QUEUED
        self.buffer = buffer.GenerationBuffer()
        self.terminal: TerminalFrame | None = None
        self.ended_at_s: float | None = None
        self.no_readers_since_s: float | None = time.monotonic()
        self.no_readers = asyncio.Event()
        self.no_readers.set()
        self._listeners = listeners.Listeners[[]]("generation")
        self._acknowledged_index = 0
        self._droppable_index = 0
        self._droppable_at_s = 0.0

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers the listener of a reader, called after each change."""
        self._listeners.add(listener)
        self.no_readers_since_s = None
        self.no_readers.clear()

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes the listener of a reader."""
        self._listeners.remove(listener)
        if not self._listeners and self.no_readers_since_s is None:
            self.no_readers_since_s = time.monotonic()
            self.no_readers.set()

    @property
    def has_readers(self) -> bool:
        """Whether the generation has readers."""
        return bool(self._listeners)

    def append(self, first_index: int, texts: list[str]) -> None:
        """Adds tokens and notifies the listeners."""
        self.buffer.append(first_index, texts)
        self._notify()

    def mark_running(self) -> None:
        """Records that the engine processes the generation."""
        self.state = RunState.RUNNING
        self._notify()

    def end(self, terminal: TerminalFrame) -> None:
        """Sets the outcome, if there is none, and notifies the listeners."""
        if self.terminal is not None:
            return
        self.state = RunState.ENDED
        self.terminal = terminal
        self.ended_at_s = time.monotonic()
        self._notify()

    def acknowledge(self, index: int) -> None:
        """Records that the tokens below an index were delivered to a caller."""
        self._acknowledged_index = max(self._acknowledged_index, index)

    def drop_acknowledged(self, now_s: float, grace_s: float) -> None:
        """Drops tokens that were acknowledged at least a grace period ago."""
        if now_s < self._droppable_at_s:
            return
        self.buffer.drop_before(self._droppable_index)
        self._droppable_index = self._acknowledged_index
        self._droppable_at_s = now_s + grace_s

    def _notify(self) -> None:
        self._listeners.notify()
