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

    # The only endpoint whose response a gateway has may end at any moment.
    def test_service_states_paces_for_some_time_after_its_last_statement(self):
        service_name = _ENGINE.service_name
        self.assertFalse(self.statements.states_pace(service_name))
        self._state(None)
        self.assertFalse(self.statements.states_pace(service_name))
        self._state(1.0)
        self.statements.remove(_ENGINE)
        self.clock.advance(29.9)
        self.assertTrue(self.statements.states_pace(service_name))
        self.clock.advance(0.1)
        self.assertFalse(self.statements.states_pace(service_name))

    # Guards against a slow VM that looks normal whenever nothing was heard of
    # it for a second.
    def test_pace_of_a_slow_vm_approaches_its_usual_pace(self):
        for pace in (1.3, 3.25, 1.3, 3.25):
            self._state(pace)
        self.assertEqual(self.statements.usual_pace_of(_ENGINE), 1.3)
        self.assertAlmostEqual(self.statements.pace_of(_ENGINE), 3.25)
        self.clock.advance(1.0)
        self.assertAlmostEqual(self.statements.pace_of(_ENGINE), 1.3)

    def test_few_statements_do_not_tell_the_usual_pace(self):
        self._state(2.5)
        self._state(2.5)
        self.assertEqual(self.statements.usual_pace_of(_ENGINE), 1.0)

    def test_restarted_endpoint_has_no_usual_pace(self):
        for _ in range(3):
            self._state(1.3)
        self.statements.remove(_ENGINE)
        self.assertEqual(self.statements.usual_pace_of(_ENGINE), 1.0)

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
