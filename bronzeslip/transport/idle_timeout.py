"""Detection of peers that stopped sending."""

import asyncio
import time

from bronzeslip.settings import common
from bronzeslip.transport import errors

_RECHECK_DELAY_S = 0.05


class IdleTimeout:
    """Fails when a connection receives no data within the timeout."""

    def __init__(self, settings: common.CommonSettings) -> None:
        self._timeout_s = settings.peer_silence_timeout_s
        self._last_received_at_s = time.monotonic()

    def reset(self) -> None:
        """Restarts the timeout after data was received."""
        self._last_received_at_s = time.monotonic()

    async def run(self) -> None:
        """Waits until the timeout expires.

        After the process itself was paused, the timeout may have expired
        although received frames are still unread. The check is therefore
        repeated after the event loop has had time to read them.

        Raises:
            errors.ConnectionLostError: When the timeout has expired.
        """
        while True:
            await asyncio.sleep(max(self._remaining_s(), 0))
            if self._remaining_s() <= 0:
                await asyncio.sleep(_RECHECK_DELAY_S)
            if self._remaining_s() <= 0:
                raise errors.ConnectionLostError(
                    "no data received from the peer within the timeout"
                )

    def _remaining_s(self) -> float:
        return self._last_received_at_s + self._timeout_s - time.monotonic()
