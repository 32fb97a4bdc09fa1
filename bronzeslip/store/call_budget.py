"""Bound on how often a follower calls the store."""

import asyncio

import msgspec


class CallRate(msgspec.Struct, frozen=True):
    """Calls that a follower may make.

    Attributes:
        calls_per_s: Lasting rate.
        burst_calls: Calls that may follow each other at once.
    """

    calls_per_s: float
    burst_calls: float


class CallBudget:
    """Delays calls beyond a rate.

    The first calls after a quiet time go at once, so a change now and then is
    learned without delay; when changes come faster than the rate, one call
    brings several of them.
    """

    def __init__(self, rate: CallRate) -> None:
        self._rate = rate
        self._left_calls = rate.burst_calls
        self._filled_s: float | None = None

    async def take(self) -> None:
        """Waits until a call is allowed, and counts it."""
        self._fill()
        if self._left_calls < 1:
            await asyncio.sleep((1 - self._left_calls) / self._rate.calls_per_s)
            self._fill()
        self._left_calls -= 1

    def _fill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        since_s = 0.0 if self._filled_s is None else now_s - self._filled_s
        self._filled_s = now_s
        self._left_calls = min(
            self._left_calls + since_s * self._rate.calls_per_s,
            self._rate.burst_calls,
        )
