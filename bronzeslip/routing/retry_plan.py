"""Retry plan of one request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

from bronzeslip.routing import retry_budget

_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5

Sleep = Callable[[float], Awaitable[None]]


class RetryPlan:
    """Decides whether to retry a request and applies jittered backoff."""

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        attempts: int,
        deadline_s: float,
        rng: random.Random,
        sleep: Sleep = asyncio.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the plan of one request.

        Args:
            budget: Budget of the request's service.
            attempts: Maximum number of attempts, including the first.
            deadline_s: Deadline of the request in terms of the clock, in
                seconds.
            rng: Random generator for the jitter.
            sleep: Coroutine function that sleeps for a number of seconds.
            clock: Monotonic clock, in seconds.
        """
        self._budget = budget
        self._attempts_left = attempts
        self._deadline_s = deadline_s
        self._rng = rng
        self._sleep = sleep
        self._clock = clock
        self._backoff_s = 0.0

    async def admit(self) -> bool:
        """Admits the next attempt, waiting with jittered backoff if needed.

        The first attempt neither waits nor uses the retry budget.

        Returns:
            Whether the attempt may be made. If not, the request fails.
        """
        if self._attempts_left <= 0:
            return False
        self._attempts_left -= 1
        if not self._backoff_s:
            self._backoff_s = _INITIAL_BACKOFF_S
            return True
        delay_s = self._backoff_s * self._rng.random()
        if self._clock() + delay_s >= self._deadline_s:
            return False
        if not self._budget.take():
            return False
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        await self._sleep(delay_s)
        return self._clock() < self._deadline_s
