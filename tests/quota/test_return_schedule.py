"""Tests of bronzeslip.quota.return_schedule."""

import unittest

from bronzeslip.quota import return_schedule


class ReturnScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = return_schedule.ReturnSchedule()

    def _delay_s(self, earliest_s, now_s=100.0):
        return self.schedule.next_delay_s(earliest_s, 0.5, now_s)

    def test_first_returns_with_the_next_permit(self):
        self.assertAlmostEqual(self._delay_s(0.3), 0.3)

    def test_others_return_with_the_permits_after_it(self):
        delays_s = [self._delay_s(0.3) for _ in range(3)]
        for delay_s, expected_s in zip(delays_s, (0.3, 0.8, 1.3), strict=True):
            self.assertAlmostEqual(delay_s, expected_s)

    def test_time_that_has_passed_is_not_added(self):
        self._delay_s(0.3)
        self.assertAlmostEqual(self._delay_s(0.3, now_s=200.0), 0.3)

    def test_delay_is_bounded(self):
        delays_s = [self._delay_s(0.3) for _ in range(1000)]
        self.assertLessEqual(
            max(delays_s), 0.3 + return_schedule._MAX_SPREAD_S + 1e-9
        )


if __name__ == "__main__":
    unittest.main()
