"""Event loop in virtual time, which advances only when no task is ready."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

ResultT = TypeVar("ResultT")


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the clock by the timeout and reports no events.

        Raises:
            RuntimeError: If no timer is scheduled.
        """
        if timeout is None:
            raise RuntimeError(
                "deadlock: no task is ready and no timer is scheduled"
            )
        self.now_s += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time; I/O is not supported."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual_selector.now_s


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine in a new virtual time loop that starts at zero."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
