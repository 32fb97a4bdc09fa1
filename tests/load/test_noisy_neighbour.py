"""Tests of choices while a VM is slowed by its other workloads."""

import unittest

from tests.load import load_case


class NoisyNeighbourTest(load_case.LoadCase):
    # Guards against prompts sent to an engine that takes 2.5 times as long,
    # when the engines are otherwise equal and idle.
    async def test_slow_engine_costs_the_longer_prefill_of_the_prompt(self):
        self.state(self.engines[0], 2.5)
        self.state(self.engines[1], 1.0)
        slow_s, normal_s = self.engine_costs_s()
        self.assertAlmostEqual(slow_s - normal_s, 1.5 * 3000 / 14_000, 1)

    async def test_queue_of_a_slow_engine_takes_longer(self):
        self.state(self.engines[0], 2.5)
        with self.track("r1"):
            forecast = self.forecast()
        self.assertAlmostEqual(forecast.prefill_s, 2.5 * 700 / 14_000, 2)

    # Guards against an engine that is avoided after its slow phase.
    async def test_old_statement_makes_no_difference(self):
        self.state(self.engines[0], 2.5, age_s=1.0)
        self.state(self.engines[1], 1.0)
        self.assertEqual(*self.engine_costs_s())

    # A pace must not change the choice of deployments without paces.
    async def test_statements_without_pace_change_nothing(self):
        with self.track("r1"):
            self.report("r1", waiting=2)
            before = self.forecast(), self.engine_costs_s()
            self.state(self.engines[0], None, running=20, waiting=20)
            self.assertEqual((self.forecast(), self.engine_costs_s()), before)
            self.assertEqual(self.requests_at_one(), 4)


if __name__ == "__main__":
    unittest.main()
