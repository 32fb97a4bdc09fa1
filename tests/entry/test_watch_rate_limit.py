"""Tests of bronzeslip.entry.watch_rate_limit."""

import unittest

import msgspec

from bronzeslip.entry import watch_rate_limit
from bronzeslip.settings import entry
from tests.support import forwarding_parts


class WatchRateLimitTest(unittest.TestCase):
    def _interval_s(self, drain_s):
        bounds = msgspec.structs.replace(
            forwarding_parts.VM_CONFIG.bounds, drain_s=drain_s
        )
        limit = watch_rate_limit.create(entry.EntrySettings(), bounds)
        return 1 / limit.calls_per_s

    def test_leaving_endpoints_are_known_within_the_drain_time(self):
        for drain_s in (0.5, 1.0, 2.5):
            with self.subTest(drain_s):
                self.assertLess(self._interval_s(drain_s), 0.8 * drain_s)

    # A gateway must not ask more often since a coordinator places for it.
    def test_relaxed_rate_is_as_low_as_the_drain_time_allows(self):
        for drain_s, interval_s in ((0.5, 0.3), (4.0, 2.4), (60.0, 3.0)):
            with self.subTest(drain_s):
                bounds = msgspec.structs.replace(
                    forwarding_parts.VM_CONFIG.bounds, drain_s=drain_s
                )
                limit = watch_rate_limit.create_relaxed(
                    entry.EntrySettings(), bounds
                )
                self.assertAlmostEqual(1 / limit.calls_per_s, interval_s)

    def test_settings_limit_the_rate_if_there_is_time(self):
        self.assertEqual(
            self._interval_s(60.0),
            1 / entry.EntrySettings().store_watches_per_s,
        )


if __name__ == "__main__":
    unittest.main()
