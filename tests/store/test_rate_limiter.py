"""Tests of bronzeslip.store.rate_limiter in virtual time."""

import asyncio
import unittest

from bench import virtual_loop
from bronzeslip.store import rate_limiter

_LIMIT = rate_limiter.RateLimit(calls_per_s=1.0, burst_calls=4.0)


async def _allowed_at_s(pauses_s):
    """Takes a call after each pause and tells when each was allowed."""
    limiter = rate_limiter.RateLimiter(_LIMIT)
    loop = asyncio.get_running_loop()
    allowed = []
    for pause_s in pauses_s:
        await asyncio.sleep(pause_s)
        await limiter.acquire()
        allowed.append(loop.time())
    return allowed


class RateLimiterTest(unittest.TestCase):
    def test_changes_now_and_then_are_not_delayed(self):
        allowed = virtual_loop.run(_allowed_at_s([1.5] * 20))
        for number, at_s in enumerate(allowed, 1):
            self.assertAlmostEqual(at_s, 1.5 * number)

    def test_a_few_changes_at_once_are_not_delayed(self):
        self.assertEqual(virtual_loop.run(_allowed_at_s([0.0] * 4))[-1], 0.0)

    def test_lasting_changes_are_held_to_the_rate(self):
        allowed = virtual_loop.run(_allowed_at_s([0.05] * 104))
        self.assertAlmostEqual(allowed[-1], 100.0, delta=1.0)

    def test_a_quiet_time_gives_no_more_than_the_burst(self):
        allowed = virtual_loop.run(_allowed_at_s([100.0] + [0.0] * 9))
        self.assertAlmostEqual(allowed[-1], 106.0)
