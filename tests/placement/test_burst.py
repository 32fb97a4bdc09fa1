"""Short bursts far above the capacity of the engines."""

import unittest

from tests.support import placement_load


def _rate_per_s(time_s):
    return 40 if 5 <= time_s < 8 else 5


class BurstTest(unittest.TestCase):
    def _play(self, policy):
        load = placement_load.PlacementLoad(policy)
        load.arrive_at_rate(_rate_per_s, 0, 20)
        load.play(50)
        return load

    def test_more_requests_are_in_time_than_at_lowest_cost_at_once(self):
        """Guards against queues that make all requests late."""
        load = self._play(placement_load.create_policy())
        compared = self._play(placement_load.LeastCost())
        self.assertGreater(load.share_in_time(), compared.share_in_time() + 0.1)
        self.assertEqual(load.outcomes()["open"], 0)
        self.assertGreater(load.outcomes()["refused"], 0)

    def test_refused_clients_return_at_different_times(self):
        """Guards against a second burst of those that were refused."""
        load = self._play(placement_load.create_policy())
        returns_s = [
            round(now_s + decision.retry_after_s, 2)
            for now_s, _, decision in load.decisions
            if decision.verdict is placement_load.REFUSED
        ]
        self.assertGreater(len(set(returns_s)), 0.9 * len(returns_s))


if __name__ == "__main__":
    unittest.main()
