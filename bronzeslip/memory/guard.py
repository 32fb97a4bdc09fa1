"""Compares the memory of the process with its limit."""

import asyncio
from collections.abc import Callable
import math
import time

from bronzeslip import logs
from bronzeslip import process_memory
from bronzeslip.memory import budget

logger = logs.get_logger(__name__)

_INTERVAL_S = 1.0
# Shares of the limit above which requests are refused, and below which they are
# accepted again.
_HIGH_SHARE = 0.93
_LOW_SHARE = 0.88
# While requests hold less than this share of the budget, refusing others frees
# nothing.
_BUSY_SHARE = 0.05
_RELEASE_INTERVAL_S = 10.0
# Growth, as a share of the limit, after which unused memory is released early.
_RELEASE_GROWTH_SHARE = 0.1
_EARLY_RELEASE_INTERVAL_S = 3.0


class MemoryGuard:
    """Refuses requests while the process is close to its limit.

    The budget counts what requests hold. The process also uses memory that is
    not counted, such as freed memory that the allocator keeps.
    """

    def __init__(
        self,
        memory: budget.MemoryBudget,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a guard.

        Args:
            memory: Budget whose pool for requests is closed.
            clock: Clock, in seconds.
        """
        self._memory = memory
        self._clock = clock
        self._released_s = -math.inf
        # Lowest resident memory since the last release.
        self._settled_bytes = process_memory.resident_bytes()

    async def run(self) -> None:
        """Checks the memory until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.check(self.measure())

    def measure(self) -> int:
        """Returns the resident memory, after releasing what is unused."""
        resident_bytes = process_memory.resident_bytes()
        self._settled_bytes = min(self._settled_bytes, resident_bytes)
        if self._is_release_due(resident_bytes):
            self._released_s = self._clock()
            process_memory.release_unused()
            resident_bytes = process_memory.resident_bytes()
            self._settled_bytes = resident_bytes
        return resident_bytes

    def _is_release_due(self, resident_bytes: int) -> bool:
        elapsed_s = self._clock() - self._released_s
        if elapsed_s >= _RELEASE_INTERVAL_S and self.is_above_high(
            resident_bytes
        ):
            return True
        growth_bytes = resident_bytes - self._settled_bytes
        return (
            elapsed_s >= _EARLY_RELEASE_INTERVAL_S
            and growth_bytes > self._memory.limit_bytes * _RELEASE_GROWTH_SHARE
        )

    def is_above_high(self, resident_bytes: int) -> bool:
        """Returns whether the process is close to its limit."""
        return resident_bytes > self._memory.limit_bytes * _HIGH_SHARE

    def check(self, resident_bytes: int) -> None:
        """Closes or opens the pool for requests."""
        requests = self._memory.requests
        if not requests.is_closed:
            if self.is_above_high(resident_bytes) and self._is_busy:
                requests.is_closed = True
                self._log("memory.tight", resident_bytes)
            return
        is_low = resident_bytes < self._memory.limit_bytes * _LOW_SHARE
        if is_low or not self._is_busy:
            requests.is_closed = False
            self._log("memory.relaxed", resident_bytes)

    @property
    def _is_busy(self) -> bool:
        """Whether memory becomes free as requests end."""
        held_bytes = self._memory.taken_bytes
        held_bytes -= self._memory.requests.standing_bytes
        return held_bytes > self._memory.capacity_bytes * _BUSY_SHARE

    def _log(self, event: str, resident_bytes: int) -> None:
        logger.warning(
            event,
            resident_bytes=resident_bytes,
            limit_bytes=self._memory.limit_bytes,
            taken_bytes=self._memory.taken_bytes,
        )
