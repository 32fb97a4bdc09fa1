"""Tests of bronzeslip.memory.guard."""

import unittest

from bronzeslip.memory import errors
from bronzeslip.memory import guard
from tests.support import forwarding_parts

_LIMIT_BYTES = 150_000_000
_REST_BYTES = 60_000_000
_TIGHT_BYTES = 140_000_000
_RELAXED_BYTES = 100_000_000
_HELD_BYTES = 20_000_000
_SMALL_GROWTH_BYTES = 10_000_000
_GROWTH_BYTES = 16_000_000
_LONG_S = 60.0


class MemoryGuardTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.memory = forwarding_parts.create_memory(_LIMIT_BYTES, _REST_BYTES)
        self.guard = guard.MemoryGuard(self.memory)

    # Guards against a process that is killed by memory which the budget does
    # not count.
    async def test_requests_are_refused_at_once_close_to_the_limit(self):
        self.memory.requests.force(_HELD_BYTES)
        self.guard.check(_TIGHT_BYTES)
        self.assertFalse(self.memory.requests.try_take(1))
        with self.assertRaises(errors.MemoryShortError):
            await self.memory.requests.take(100_000, 60)
        self.assertTrue(self.memory.responses.try_take(1))
        self.guard.check(_RELAXED_BYTES)
        self.assertTrue(self.memory.requests.try_take(1))

    def test_marks_differ(self):
        self.memory.requests.force(_HELD_BYTES)
        self.guard.check(_TIGHT_BYTES)
        self.guard.check(round(_LIMIT_BYTES * 0.9))
        self.assertTrue(self.memory.requests.is_closed)
        self.guard.check(_RELAXED_BYTES)
        self.guard.check(round(_LIMIT_BYTES * 0.9))
        self.assertFalse(self.memory.requests.is_closed)

    def test_requests_are_accepted_when_no_other_can_free_memory(self):
        self.memory.requests.change_standing(_HELD_BYTES)
        self.guard.check(_TIGHT_BYTES)
        self.assertFalse(self.memory.requests.is_closed)
        self.memory.requests.force(_HELD_BYTES)
        self.guard.check(_TIGHT_BYTES)
        self.assertTrue(self.memory.requests.is_closed)
        self.memory.requests.give_back(_HELD_BYTES)
        self.guard.check(_TIGHT_BYTES)
        self.assertFalse(self.memory.requests.is_closed)
