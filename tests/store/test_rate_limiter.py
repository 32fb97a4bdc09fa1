"""Tests of bronzeslip.store.rate_limiter in virtual time."""

import asyncio
import unittest

from bench import virtual_loop
from bronzeslip.store import rate_limiter

_LIMIT = rate_limiter.RateLimit(calls_per_s=1.0, burst_calls=4.0)


async def _acquire_times_s(pauses_s):
    """Acquires a call after each pause; returns the times of acquisition."""
    limiter = rate_limiter.RateLimiter(_LIMIT)
    loop = asyncio.get_running_loop()
    times_s = []
    for pause_s in pauses_s:
        await asyncio.sleep(pause_s)
        await limiter.acquire()
        times_s.append(loop.time())
    return times_s


class RateLimiterTest(unittest.TestCase):
    def test_occasional_calls_are_not_delayed(self):
        times_s = virtual_loop.run(_acquire_times_s([1.5] * 20))
        for number, time_s in enumerate(times_s, 1):
            self.assertAlmostEqual(time_s, 1.5 * number)

    def test_burst_is_not_delayed(self):
        self.assertEqual(virtual_loop.run(_acquire_times_s([0.0] * 4))[-1], 0.0)

    def test_sustained_calls_are_limited_to_the_rate(self):
        times_s = virtual_loop.run(_acquire_times_s([0.05] * 104))
        self.assertAlmostEqual(times_s[-1], 100.0, delta=1.0)

    def test_lower_limit_holds_from_the_next_call_on(self):
        async def acquire():
            limiter = rate_limiter.RateLimiter(_LIMIT)
            limiter.set_limit(rate_limiter.RateLimit(0.5, 1.0))
            for _ in range(11):
                await limiter.acquire()
            return asyncio.get_running_loop().time()

        self.assertAlmostEqual(virtual_loop.run(acquire()), 20.0, delta=2.0)

    def test_burst_is_limited_after_an_idle_period(self):
        times_s = virtual_loop.run(_acquire_times_s([100.0] + [0.0] * 9))
        self.assertAlmostEqual(times_s[-1], 106.0)
