"""Tests of bronzeslip.memory.budget."""

import unittest

from bronzeslip.memory import budget

_MB = 1_000_000
_REST_BYTES = 60 * _MB
_MAX_BODY_BYTES = 4 * 1024 * 1024
_MAX_RESPONSE_BYTES = 1024 * 1024


class BudgetTest(unittest.TestCase):
    def test_budget_stays_below_the_limit(self):
        for limit_mb in (100, 128, 150, 300):
            with self.subTest(limit_mb=limit_mb):
                created = budget.create(limit_mb * _MB, _REST_BYTES)
                self.assertLess(
                    created.capacity_bytes + _REST_BYTES, limit_mb * _MB
                )

    def test_each_budget_holds_the_largest_body_and_response(self):
        for limit_mb in (40, 88, 128, 150):
            with self.subTest(limit_mb=limit_mb):
                created = budget.create(limit_mb * _MB, _REST_BYTES)
                requests = created.requests
                self.assertGreater(
                    requests.capacity_bytes - requests.reserve_bytes,
                    _MAX_BODY_BYTES,
                )
                self.assertGreater(
                    created.responses.capacity_bytes, _MAX_RESPONSE_BYTES
                )

    def test_requests_leave_room_for_responses(self):
        created = budget.create(150 * _MB, _REST_BYTES)
        self.assertTrue(
            created.requests.try_take(
                created.requests.capacity_bytes, is_small=True
            )
        )
        self.assertTrue(created.responses.try_take(_MAX_RESPONSE_BYTES))
