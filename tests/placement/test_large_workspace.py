"""One workspace that sends far more than the engines can serve."""

import unittest

from tests.support import placement_load


class LargeWorkspaceTest(unittest.TestCase):
    def _play(self, policy, seed):
        load = placement_load.PlacementLoad(policy, seed=seed)
        load.arrive_at_rate(lambda _: 16, 0, 20, workspace="large")
        load.arrive_at_rate(lambda _: 1.5, 0, 20, workspace="small")
        load.play(50)
        return load

    def test_small_workspace_is_served_and_the_large_one_does_not_starve(self):
        """Guards against shares by the number of requests."""
        for seed in (1, 2, 3):
            with self.subTest(seed):
                load = self._play(placement_load.create_policy(), seed)
                compared = self._play(placement_load.LeastCost(), seed)
                small = load.share_in_time(workspace="small")
                large = load.share_in_time(workspace="large")
                self.assertGreater(small, 0.75)
                self.assertGreater(small, large)
                self.assertGreater(
                    large, compared.share_in_time(workspace="large")
                )


if __name__ == "__main__":
    unittest.main()
