"""Tests of bronzeslip.quota.permit_bucket."""

import unittest

from bronzeslip.quota import permit_bucket

_RATE_PER_S = 2.0


class PermitBucketTest(unittest.TestCase):
    def setUp(self):
        self.bucket = permit_bucket.PermitBucket(now_s=100.0)

    def _take(self, now_s, reserved=0.0):
        return self.bucket.take(_RATE_PER_S, reserved, now_s)

    def _taken(self, now_s, reserved=0.0):
        return [self._take(now_s, reserved) for _ in range(10)].count(0.0)

    def test_new_bucket_is_empty(self):
        self.assertAlmostEqual(self._take(100.0), 0.5)

    def test_permit_is_available_after_the_delay(self):
        delay_s = self._take(100.0)
        self.assertEqual(self._take(100.0 + delay_s), 0.0)

    def test_burst_is_bounded(self):
        self.assertEqual(self._taken(1000.0), 2)

    def test_reserved_permits_are_left(self):
        self.assertEqual(self._taken(1000.0, reserved=1.0), 1)
        self.assertEqual(self._take(1000.0), 0.0)

    def test_rate_is_kept(self):
        taken = sum(
            self._take(100.0 + step / 100) == 0.0 for step in range(2001)
        )
        self.assertLessEqual(abs(taken - 40), 1)


if __name__ == "__main__":
    unittest.main()
