"""Tests of bronzeslip.entry.watch_timing."""

import unittest

import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_timing
from tests.support import forwarding_parts

_SETTINGS = forwarding_parts.SETTINGS


def _timings(**bounds):
    timing = watch_timing.WatchTiming(
        _SETTINGS,
        msgspec.structs.replace(forwarding_parts.VM_CONFIG.bounds, **bounds),
    )
    return {
        "config_s": timing.configuration(),
        "evac_s": timing.evacuations(),
        "contact_s": timing.suspects(),
        "drain_s": timing.endpoints(),
    }


class WatchTimingTest(unittest.TestCase):
    # Guards against a forgotten watch that hides a change beyond its bound.
    def test_an_unanswered_watch_leaves_time_for_a_listing(self):
        for config_s, drain_s in ((2.5, 2.5), (4.0, 4.0), (30.0, 30.0)):
            bounds = {
                "config_s": config_s,
                "contact_s": 4.0,
                "drain_s": drain_s,
                "evac_s": 5.0,
            }
            for name, timing in _timings(**bounds).items():
                with self.subTest(name, config_s=config_s):
                    self.assertLessEqual(
                        timing.watch_wait_s
                        + timing.min_backoff_s
                        + 2 * _SETTINGS.store_timeout_s,
                        min(bounds[name], bounds["contact_s"]),
                    )

    def test_watches_do_not_wait_longer_than_the_settings_say(self):
        timings = _timings(config_s=1e6, contact_s=1e6, drain_s=1e6, evac_s=1e6)
        self.assertEqual(
            [timing.watch_wait_s for timing in timings.values()],
            [
                _SETTINGS.configuration_watch_s,
                _SETTINGS.configuration_watch_s,
                _SETTINGS.suspect_watch_s,
                _SETTINGS.store_watch_s,
            ],
        )

    # Guards against calls without a pause where a bound is very short.
    def test_short_bounds_do_not_cause_calls_without_a_pause(self):
        for name, timing in _timings(config_s=0.001, contact_s=0.001).items():
            with self.subTest(name):
                self.assertGreaterEqual(timing.watch_wait_s, 0.5)

    def test_bounds_that_are_not_stated_have_defaults(self):
        bounds = vm_config.PlaceBounds(8.0, 0.2, 50.0, 10.0, 2.5)
        timing = watch_timing.WatchTiming(_SETTINGS, bounds).configuration()
        self.assertLess(
            timing.watch_wait_s + _SETTINGS.store_timeout_s, bounds.config_s
        )


if __name__ == "__main__":
    unittest.main()
