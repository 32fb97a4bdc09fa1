"""Tests of load statements: noisy neighbours and headers that stop coming."""

import unittest

from bronzeslip.load import load_statement
from bronzeslip.load import load_statements
from tests.support import clock
from tests.support import forwarding_parts
from tests.support import log_capture

_ENGINE = forwarding_parts.create_endpoint("i-1", started_unix_ms=1)
_RESTARTED = forwarding_parts.create_endpoint("i-1", started_unix_ms=2)


class LoadStatementsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.statements = load_statements.LoadStatements(self.clock)

    def _state(self, pace, target=_ENGINE):
        self.statements.state(
            target,
            load_statement.LoadStatement(1, 0, 24, pace, self.clock()),
        )

    # Guards against an engine that is avoided long after its neighbour on the
    # VM has become quiet.
    def test_pace_beside_a_noisy_neighbour_decays(self):
        self._state(2.5)
        start_s = self.clock()
        for age_s, pace in ((0, 2.5), (0.3, 1.75), (0.65, 1.375), (1, 1.0)):
            self.clock.now_s = start_s + age_s
            with self.subTest(age_s=age_s):
                self.assertAlmostEqual(
                    self.statements.pace_of(_ENGINE), pace, places=6
                )

    def test_header_that_stops_coming_leaves_the_normal_pace(self):
        self._state(2.5)
        self.clock.advance(3600.0)
        self.assertEqual(self.statements.pace_of(_ENGINE), 1.0)

    def test_restarted_endpoint_has_not_stated_anything(self):
        self._state(2.5)
        self.assertIsNone(self.statements.latest(_RESTARTED))
        self.assertEqual(self.statements.pace_of(_RESTARTED), 1.0)

    def test_service_states_paces_until_its_last_such_endpoint_is_gone(self):
        service_name = _ENGINE.service_name
        self.assertFalse(self.statements.states_pace(service_name))
        self._state(None)
        self.assertFalse(self.statements.states_pace(service_name))
        self._state(1.0)
        self.assertTrue(self.statements.states_pace(service_name))
        self.statements.remove(_RESTARTED)
        self.assertTrue(self.statements.states_pace(service_name))
        self.statements.remove(_ENGINE)
        self.assertFalse(self.statements.states_pace(service_name))

    # Guards against a line for each response of an endpoint.
    def test_missing_statements_are_logged_once_in_ten_seconds(self):
        with log_capture.capture() as captured:
            self.statements.record_missing(_ENGINE)
            self.assertEqual([], captured.lines)
            self._state(1.0)
            for _ in range(100):
                self.statements.record_missing(_ENGINE)
                self.clock.advance(0.15)
        lines = captured.matching("load.unusable_statement", reason="missing")
        self.assertEqual(len(lines), 2)


if __name__ == "__main__":
    unittest.main()
