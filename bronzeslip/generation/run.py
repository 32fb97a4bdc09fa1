"""One generation at its sidecar."""

from collections.abc import Callable
import enum

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
    """Tokens and outcome of one run of a generation."""

    def __init__(self, start: frames.StartGeneration) -> None:
        self.start = start
        self.state = RunState.QUEUED
        self.buffer = buffer.GenerationBuffer()
        self.terminal: TerminalFrame | None = None
        self._listeners: set[Callable[[], None]] = set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each change from now on."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stops calling a listener."""
        self._listeners.discard(listener)

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
        self._notify()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
