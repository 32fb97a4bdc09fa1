"""Rate limiter for calls to the store."""

import asyncio

import msgspec


class RateLimit(msgspec.Struct, frozen=True):
    """Limit on the rate of calls.

    Attributes:
        calls_per_s: Sustained rate.
        burst_calls: Calls allowed in a burst.
    """

    calls_per_s: float
    burst_calls: float


class RateLimiter:
    """Token bucket that delays calls above a rate.

    The first calls after an idle period are not delayed, so an occasional
    change is received immediately. When changes are more frequent than the
    rate, one call returns several of them.
    """

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._available_calls = limit.burst_calls
        self._refilled_at_s: float | None = None

    def set_limit(self, limit: RateLimit) -> None:
        """Replaces the limit for the calls to come."""
        self._refill()
        self._limit = limit

    async def acquire(self) -> None:
        """Waits until a call is allowed and counts it."""
        self._refill()
        if self._available_calls < 1:
            await asyncio.sleep(
                (1 - self._available_calls) / self._limit.calls_per_s
            )
            self._refill()
        self._available_calls -= 1

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        elapsed_s = (
            0.0 if self._refilled_at_s is None else now_s - self._refilled_at_s
        )
        self._refilled_at_s = now_s
        self._available_calls = min(
            self._available_calls + elapsed_s * self._limit.calls_per_s,
            self._limit.burst_calls,
        )
