"""Tests against requests that several sources show and that count twice."""

import unittest

from bronzeslip.load import placement_need
from tests.load import load_case
from tests.support import forwarding_parts


class RequestsCountedTwiceTest(load_case.LoadCase):
    async def test_own_request_in_the_ledger_and_the_report(self):
        with self.track("r1"):
            self.place("r1")
            self.assertEqual(self.requests_at_one(), 1)
            self.report("r1")
            self.place("r2")
            self.assertEqual(self.requests_at_one(), 2)

    async def test_placed_request_in_the_report(self):
        self.place("r1")
        self.place("r2")
        self.report("r1", "r9")
        self.assertEqual(self.requests_at_one(), 3)

    # Guards against a queued request that the report counts by its number and
    # the ledger by its id.
    async def test_placed_request_in_the_queue_of_the_report(self):
        self.report(waiting=2)
        self.place("r1", age_s=2.0)
        self.assertEqual(self.requests_at_one(), 2)
        self.assertEqual(self.forecast().memory_use, (1400 + 4000) / 30_000)

    async def test_request_that_ended_before_the_report(self):
        self.place("r1", age_s=2.0)
        self.place("r2")
        self.report()
        self.assertEqual(self.requests_at_one(), 1)

    async def test_need_and_request_have_the_same_forecast(self):
        self.place("r1")
        self.report("r9", waiting=1)
        need = placement_need.PlacementNeed("pool", 3000, 4000, 1000, True)
        self.assertEqual(
            self.forecaster.forecast_need(
                self.engines[0], need, forwarding_parts.ENGINE_TRAITS
            ),
            self.forecast(),
        )


if __name__ == "__main__":
    unittest.main()
