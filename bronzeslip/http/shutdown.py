"""Handling of signals that shut down a daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import signal
from typing import Any

from bronzeslip import logs

logger = logs.get_logger(__name__)

_SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ShutdownSignals:
    """Starts a drain on the first signal and forces the exit on the second.

    Attributes:
        requested: Set by the first signal: drain, then exit.
        forced: Set by the second signal: exit immediately.
    """

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()

    def install(self) -> None:
        """Installs handlers for SIGTERM and SIGINT in the running loop."""
        loop = asyncio.get_running_loop()
        for number in _SHUTDOWN_SIGNALS:
            loop.add_signal_handler(number, self._on_signal)

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Calls a function on SIGHUP, which by default ends the process."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)

    def request(self) -> None:
        """Requests a drain as the first signal does."""
        self.requested.set()

    async def run_unless_forced(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> bool:
        """Runs a coroutine until it ends or a shutdown is forced.

        Returns:
            Whether the coroutine has ended; otherwise it was cancelled.
        """
        task = asyncio.create_task(coroutine)
        forced_waiter = asyncio.create_task(self.forced.wait())
        try:
            await asyncio.wait(
                (task, forced_waiter), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                task.result()
                return True
            return False
        finally:
            for waiter in (task, forced_waiter):
                waiter.cancel()

    def _on_signal(self) -> None:
        event = self.forced if self.requested.is_set() else self.requested
        logger.info("shutdown.signal", hurried=event is self.forced)
        event.set()


async def run_step(name: str, step: Awaitable[Any]) -> None:
    """Runs a step of a shutdown, whose failure does not prevent the next one.

    Args:
        name: Name that a failure is logged with.
        step: What to await.
    """
    try:
        await step
    except Exception as error:
        logger.error(
            "shutdown.step_failed", step=name, reason=logs.describe(error)
        )


def ignore_signals() -> None:
    """Ignores further signals in a process that ends anyway.

    Without their handlers, which the loop removes, they would end it with a
    status that tells of a failure.
    """
    loop = asyncio.get_running_loop()
    for number in (*_SHUTDOWN_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
