"""Tests of bronzeslip.last_confirmation."""

import unittest

from bronzeslip import last_confirmation
from tests.support import clock


class LastConfirmationTest(unittest.TestCase):
    def test_age_is_the_time_since_the_last_confirmation(self):
        now = clock.ManualClock()
        confirmation = last_confirmation.LastConfirmation(now)
        self.assertIsNone(confirmation.age_s())
        for _ in range(2):
            confirmation.confirm()
            now.advance(1.5)
            self.assertEqual(confirmation.age_s(), 1.5)
