"""Tests of bronzeslip.places.cold_endpoints."""

import unittest

import msgspec

from bronzeslip.places import cold_endpoints
from tests.support import clock
from tests.support import forwarding_parts

_COLD_S = 1.0
_SERVICE = msgspec.structs.replace(
    forwarding_parts.CALL_SERVICE, cold_s=_COLD_S, cold_per_s=29.0
)


def _create_endpoint(stated_s=0.0, started_unix_ms=1):
    return forwarding_parts.create_endpoint(
        "one", warmup_remaining_s=stated_s, started_unix_ms=started_unix_ms
    )


class ColdEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.cold = cold_endpoints.ColdEndpoints(self.clock)

    def _assert_cold_for(self, expected_s, service=_SERVICE):
        self.assertAlmostEqual(
            self.cold.remaining_s("one", service), expected_s
        )

    def test_endpoints_of_the_first_listing_are_as_cold_as_they_state(self):
        self.cold.replace_all([(_create_endpoint(), 1)])
        self._assert_cold_for(0.0)
        self.cold.put(_create_endpoint(0.4), 2)
        self._assert_cold_for(0.4)
        self.clock.advance(0.5)
        self._assert_cold_for(0.0)

    # Guards against a new endpoint that all gateways send their requests to
    # since its entry is old when they read it.
    def test_endpoint_that_appears_is_cold_for_the_time_of_its_service(self):
        self.cold.replace_all([])
        self.cold.put(_create_endpoint(), 2)
        self._assert_cold_for(_COLD_S)
        self.clock.advance(_COLD_S + 0.1)
        self._assert_cold_for(0.0)
        self.cold.replace_all([(_create_endpoint(0.0, 2), 3)])
        self._assert_cold_for(_COLD_S)

    # Guards against refusals while many entries that lapsed in an outage of the
    # store are registered again.
    def test_endpoint_whose_entry_lapsed_does_not_appear_anew(self):
        entry = _create_endpoint(0.8)
        self.cold.replace_all([(entry, 1)])
        self.cold.remove(entry)
        self.clock.advance(0.5)
        self.cold.put(_create_endpoint(), 2)
        self._assert_cold_for(0.3)
        self.clock.advance(0.5)
        self.cold.remove(entry)
        self.cold.put(_create_endpoint(), 3)
        self._assert_cold_for(0.0)
        self.cold.remove(entry)
        self.cold.put(_create_endpoint(started_unix_ms=2), 4)
        self._assert_cold_for(_COLD_S)

    # Guards against taking a restarted endpoint for the one before if entries
    # state no start time.
    def test_endpoint_without_a_start_time_appears_anew(self):
        entry = _create_endpoint(started_unix_ms=0)
        self.cold.replace_all([(entry, 1)])
        self.cold.remove(entry)
        self.cold.put(entry, 2)
        self._assert_cold_for(_COLD_S)

    # Guards against entries that are listed again and again after outages.
    def test_listing_the_same_entry_again_is_no_statement(self):
        entry = _create_endpoint(0.8)
        self.cold.replace_all([(entry, 1)])
        self.clock.advance(0.5)
        self.cold.replace_all([(entry, 1)])
        self._assert_cold_for(0.3)
        self.cold.replace_all([(entry, 2)])
        self._assert_cold_for(0.8)

    def test_later_statement_never_shortens_an_earlier_one(self):
        entry = _create_endpoint(0.8)
        self.cold.replace_all([(entry, 1)])
        self.cold.state(entry, 0.2)
        self._assert_cold_for(0.8)
        self.cold.state(entry, 1.5)
        self._assert_cold_for(1.5)
        self.cold.put(_create_endpoint(0.0), 2)
        self._assert_cold_for(1.5)

    def test_statements_of_other_incarnations_do_not_count(self):
        self.cold.replace_all([(_create_endpoint(0.0, 2), 1)])
        self.cold.state(_create_endpoint(0.0, 1), 5.0)
        self.cold.remove(_create_endpoint(0.0, 1))
        self._assert_cold_for(0.0)
        self.cold.state(_create_endpoint(0.0, 2), 5.0)
        self._assert_cold_for(5.0)

    def test_services_without_a_limit_have_no_cold_endpoints(self):
        self.cold.replace_all([])
        self.cold.put(_create_endpoint(0.8), 1)
        self._assert_cold_for(0.0, forwarding_parts.CALL_SERVICE)

    def test_each_change_is_logged_once(self):
        self.cold.replace_all([(_create_endpoint(0.8), 1)])
        with self.assertLogs("absl") as captured:
            for _ in range(3):
                self.cold.remaining_s("one", _SERVICE)
                self.cold.log_exhausted("one")
            self.clock.advance(1.0)
            for _ in range(3):
                self.cold.remaining_s("one", _SERVICE)
        events = [
            name
            for line in captured.output
            for name in ("endpoints.cold_limit", "endpoints.warm")
            if name in line
        ]
        self.assertEqual(events, ["endpoints.cold_limit", "endpoints.warm"])
        self.assertEqual(len(captured.output), 3)


if __name__ == "__main__":
    unittest.main()
