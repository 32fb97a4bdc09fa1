"""Signals that ask a daemon to shut down."""

import asyncio
import signal

from bronzeslip import logs

logger = logs.get_logger(__name__)


class ShutdownSignals:
    """Distinguishes the first signal from the second.

    Attributes:
        requested: Set by the first signal: drain, then end.
        hurried: Set by the second signal: end now.
    """

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.hurried = asyncio.Event()

    def install(self) -> None:
        """Takes SIGTERM and SIGINT for the running loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        event = self.hurried if self.requested.is_set() else self.requested
        logger.info("shutdown.signal", hurried=event is self.hurried)
        event.set()
