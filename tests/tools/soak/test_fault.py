"""Tests of tools.soak.fault."""

import random
import unittest

from tools.soak import fault


class FaultTest(unittest.TestCase):
    # Guards against a new fault that changes what the seeds of earlier
    # findings draw. The names were drawn before there were separate faults.
    def test_seeds_keep_their_common_faults(self):
        rng = random.Random("7 0")
        drawn = [rng.choice(fault.COMMON_FAULTS).value for _ in range(6)]
        self.assertEqual(
            drawn,
            [
                "link-stalled",
                "gateway-restarted",
                "configuration-changed",
                "link-silenced",
                "gateway-reloaded",
                "gateway-restarted",
            ],
        )


if __name__ == "__main__":
    unittest.main()
