"""Event loop whose time passes only when there is nothing to run."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

ResultT = TypeVar("ResultT")


class _VirtualSelector(selectors.DefaultSelector):
    """Moves the clock on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Moves the clock by the timeout and reports no events."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now_s += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time; it does no input or output."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._virtual_selector.now_s


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine in a loop of its own, from time zero on."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
