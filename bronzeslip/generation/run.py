"""One generation at its sidecar."""

import asyncio
from collections.abc import Callable
import enum
import time

from bronzeslip.generation import buffer
from bronzeslip.transport.frames import generation as frames

TerminalFrame = (
    frames.GenerationFinished | frames.GenerationRefused | frames.GenerationLost
)


class RunState(enum.Enum):
    """How far a generation has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class GenerationRun:
    """Tokens and outcome of one run of a generation.

    Attributes:
        start: What was asked for.
        state: How far it has come.
        buffer: Tokens kept for readers.
        terminal: Outcome, once there is one.
        ended_at_s: When it ended on the monotonic clock, in seconds.
        no_readers: Set while nobody reads it.
        no_readers_since_s: When the last reader left, in seconds, or None.
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
        self._listeners: set[Callable[[], None]] = set()
        self._acknowledged_index = 0
        self._droppable_index = 0
        self._droppable_at_s = 0.0

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each change from now on."""
        self._listeners.add(listener)
        self.no_readers_since_s = None
        self.no_readers.clear()

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stops calling a listener."""
        self._listeners.discard(listener)
        if not self._listeners and self.no_readers_since_s is None:
            self.no_readers_since_s = time.monotonic()
            self.no_readers.set()

    @property
    def has_listeners(self) -> bool:
        """Whether anybody reads the generation."""
        return bool(self._listeners)

    def append(self, first_index: int, texts: list[str]) -> None:
        """Adds tokens and tells the listeners."""
        self.buffer.append(first_index, texts)
        self._notify()

    def mark_running(self) -> None:
        """Notes that the engine works on the generation."""
        self.state = RunState.RUNNING
        self._notify()

    def end(self, terminal: TerminalFrame) -> None:
        """Sets the outcome, once, and tells the listeners."""
        if self.terminal is not None:
            return
        self.state = RunState.ENDED
        self.terminal = terminal
        self.ended_at_s = time.monotonic()
        self._notify()

    def acknowledge(self, index: int) -> None:
        """Notes that the tokens below an index were handed to a caller."""
        self._acknowledged_index = max(self._acknowledged_index, index)

    def drop_acknowledged(self, now_s: float, grace_s: float) -> None:
        """Drops tokens that were acknowledged at least a grace time ago."""
        if now_s < self._droppable_at_s:
            return
        self.buffer.drop_before(self._droppable_index)
        self._droppable_index = self._acknowledged_index
        self._droppable_at_s = now_s + grace_s

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
