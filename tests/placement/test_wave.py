"""Load that varies by 55% around its mean with a period of 17 s."""

import math
import unittest

from tests.support import placement_load


class WaveTest(unittest.TestCase):
    def _play(self, policy, mean_per_s):
        load = placement_load.PlacementLoad(policy)
        load.arrive_at_rate(
            lambda time_s: (
                mean_per_s * (1 + 0.55 * math.sin(2 * math.pi * time_s / 17))
            ),
            0,
            34,
        )
        load.play(60)
        return load

    def test_more_requests_are_in_time_if_peaks_exceed_the_capacity(self):
        """Guards against queues that outlast the peak."""
        load = self._play(placement_load.create_policy(), 10)
        compared = self._play(placement_load.LeastCost(), 10)
        self.assertGreater(
            load.share_in_time(), compared.share_in_time() + 0.05
        )
        self.assertEqual(load.outcomes()["open"], 0)

    def test_nothing_is_deferred_if_peaks_fit(self):
        """Guards against waits that the load does not call for."""
        load = self._play(placement_load.create_policy(), 4)
        self.assertEqual(load.share_in_time(), 1.0)
        self.assertEqual(len(load.decisions), len(load.requests))


if __name__ == "__main__":
    unittest.main()
