"""Detection of a peer that has fallen silent."""

import asyncio
import time

from bronzeslip.settings import common
from bronzeslip.transport import errors

_RECHECK_DELAY_S = 0.05


class IdleTimeout:
    """Ends a connection on which nothing has been heard for a time."""

    def __init__(self, settings: common.CommonSettings) -> None:
        self._timeout_s = settings.peer_silence_timeout_s
        self._last_received_at_s = time.monotonic()

    def reset(self) -> None:
        """Notes that the peer has sent something."""
        self._last_received_at_s = time.monotonic()

    async def run(self) -> None:
        """Waits for silence.

        A process that was paused finds the time expired although frames
        wait to be read, so the loop gets to read them before the verdict.

        Raises:
            errors.ConnectionLostError: When the peer has been silent.
        """
        while True:
            await asyncio.sleep(max(self._remaining_s(), 0))
            if self._remaining_s() <= 0:
                await asyncio.sleep(_RECHECK_DELAY_S)
            if self._remaining_s() <= 0:
                raise errors.ConnectionLostError("the peer is silent")

    def _remaining_s(self) -> float:
        return self._last_received_at_s + self._timeout_s - time.monotonic()
