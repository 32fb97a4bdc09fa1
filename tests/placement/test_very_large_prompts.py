"""Prompts that take most of an engine, beside many ordinary ones."""

import unittest

from tests.support import placement_load


class VeryLargePromptsTest(unittest.TestCase):
    def test_neither_size_starves(self):
        """Guards against memory that only small requests ever get."""
        load = placement_load.PlacementLoad(placement_load.create_policy())
        load.arrive_at_rate(lambda _: 10, 0, 30)
        load.arrive_at_rate(
            lambda _: 0.4,
            0,
            30,
            workspace="large",
            prompt_tokens=16_000,
            objective_s=4.0,
        )
        load.play(60)
        large = load.outcomes(workspace="large")
        self.assertGreater(large.total(), 5)
        self.assertGreater(
            large["in time"] + large["late"], 0.75 * large.total()
        )
        self.assertGreater(load.share_in_time(workspace="w"), 0.7)


if __name__ == "__main__":
    unittest.main()
