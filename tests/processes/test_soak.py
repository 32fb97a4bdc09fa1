"""Short soak test with a fixed seed; other seeds are run by hand."""

import unittest

from tools.soak import settings
from tools.soak import trial

_SEED = 7


class SoakTest(unittest.TestCase):
    def test_invariants_hold_under_a_series_of_faults(self):
        soak_trial = trial.Trial(settings.SoakSettings(length_s=6.0), _SEED)
        self.assertEqual(soak_trial.run(), [])
        self.assertGreater(soak_trial.request_count, 50)
        self.assertGreater(soak_trial.run_count, 20)


if __name__ == "__main__":
    unittest.main()
