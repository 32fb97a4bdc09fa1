"""Compares the memory of the process with its limit."""

import asyncio

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


class MemoryGuard:
    """Refuses requests while the process is close to its limit.

    The budget counts what requests hold. The process also uses memory that is
    not counted, such as freed memory that the allocator keeps.
    """

    def __init__(self, memory: budget.MemoryBudget) -> None:
        """Creates a guard.

        Args:
            memory: Budget whose pool for requests is closed.
        """
        self._memory = memory
        self._next_release_s = 0.0

    async def run(self) -> None:
        """Checks the memory until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            resident_bytes = process_memory.resident_bytes()
            if self.is_above_high(resident_bytes):
                resident_bytes = self._release_unused(resident_bytes)
            self.check(resident_bytes)

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

    def _release_unused(self, resident_bytes: int) -> int:
        """Returns freed memory to the system and measures again."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_release_s:
            return resident_bytes
        self._next_release_s = now_s + _RELEASE_INTERVAL_S
        process_memory.release_unused()
        return process_memory.resident_bytes()

    def _log(self, event: str, resident_bytes: int) -> None:
        logger.warning(
            event,
            resident_bytes=resident_bytes,
            limit_bytes=self._memory.limit_bytes,
            taken_bytes=self._memory.taken_bytes,
        )
