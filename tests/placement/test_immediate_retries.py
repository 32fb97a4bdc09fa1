"""Clients that repeat refused requests at once, whatever they are told."""

import unittest

from tests.support import placement_load


class ImmediateRetriesTest(unittest.TestCase):
    def test_other_workspaces_are_served(self):
        """Guards against places for those who ask most often."""
        load = placement_load.PlacementLoad(placement_load.create_policy())
        load.repeating_workspace = "repeating"
        load.arrive_at_rate(lambda _: 16, 0, 20, workspace="repeating")
        load.arrive_at_rate(lambda _: 2, 0, 20, workspace="patient")
        load.play(24)
        served = load.outcomes(workspace="repeating")["in time"]
        self.assertGreater(load.outcomes()["refused"], 1_000)
        self.assertGreater(load.share_in_time(workspace="patient"), 0.75)
        self.assertGreater(served, 100)


if __name__ == "__main__":
    unittest.main()
