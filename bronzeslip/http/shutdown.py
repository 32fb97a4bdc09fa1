"""Signals that ask a daemon to shut down."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import signal
from typing import Any

from bronzeslip import logs

logger = logs.get_logger(__name__)


class ShutdownSignals:
    """Distinguishes the first signal from the second.

    Attributes:
        requested: Set by the first signal: drain, then end.
        forced: Set by the second signal: end now.
    """

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()

    def install(self) -> None:
        """Takes SIGTERM and SIGINT for the running loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Has a function called on each SIGHUP, which by default would end."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)

    def request(self) -> None:
        """Asks for a drain as the first signal does."""
        self.requested.set()

    async def run_unless_forced(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> bool:
        """Waits for work, or for the second signal.

        Returns:
            Whether the work has ended; otherwise it was cancelled.
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
