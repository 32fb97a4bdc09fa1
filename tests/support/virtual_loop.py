"""Event loop whose time passes only while nothing is ready to run."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self, loop_time):
        super().__init__()
        self._loop_time = loop_time

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self._loop_time[0] += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for tests without a network."""

    def __init__(self):
        self._virtual_s = [1000.0]
        super().__init__(_VirtualSelector(self._virtual_s))

    def time(self):
        return self._virtual_s[0]


def run(coroutine):
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
