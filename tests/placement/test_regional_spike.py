"""A traffic spike of requests that may run in one region only."""

import unittest

from tests.support import placement_load


class RegionalSpikeTest(unittest.TestCase):
    def test_requests_of_the_other_region_do_not_wait(self):
        """Guards against waiting behind requests for other endpoints."""
        load = placement_load.PlacementLoad(
            placement_load.create_policy(), regions=("west", "east")
        )
        load.arrive_at_rate(
            lambda time_s: 60 if 5 < time_s < 7 else 2,
            0,
            20,
            workspace="west",
            regions=frozenset(["west"]),
        )
        load.arrive_at_rate(
            lambda _: 2.5,
            0,
            20,
            workspace="east",
            priority=1,
            regions=frozenset(["east"]),
        )
        load.play(50)
        self.assertGreater(load.outcomes(workspace="west")["refused"], 0)
        self.assertEqual(load.share_in_time(workspace="east"), 1.0)


if __name__ == "__main__":
    unittest.main()
