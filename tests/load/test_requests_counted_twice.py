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

    async def test_placement_and_local_choice_count_the_same_requests(self):
        self.place("r1")
        self.report("r9", waiting=1)
        local, placed = self.forecast(), self._forecast_placement()
        self.assertEqual(placed.slot_load, local.slot_load)
        self.assertEqual(placed.memory_use, local.memory_use)

    # Guards against a coordinator that spreads requests over engines by prompts
    # that were processed before its report arrived.
    async def test_prompts_processed_since_do_not_count_for_placements(self):
        self.place("r1", age_s=0.15)
        self.place("r2", age_s=0.05)
        self.report()
        # One prompt takes 0.1 s beside decoding.
        forecast = self._forecast_placement()
        self.assertAlmostEqual(forecast.prefill_s, 0.05, delta=0.02)
        self.assertEqual(self.requests_at_one(), 2)

    def _forecast_placement(self):
        need = placement_need.PlacementNeed("pool", 3000, 4000, 1000, True)
        return self.forecaster.forecast_need(
            self.engines[0], need, forwarding_parts.ENGINE_TRAITS
        )


if __name__ == "__main__":
    unittest.main()
