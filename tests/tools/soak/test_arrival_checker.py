"""Tests of tools.soak.arrival_checker with a violation of each invariant."""

import unittest

from tools.soak import arrival_checker
from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import request_kind
from tools.soak import request_result


def _result(request_id, sent_s, gateway="front-0", **fields):
    return request_result.RequestResult(
        request_id,
        request_kind.RequestKind.READ,
        200,
        b"",
        True,
        gateway=gateway,
        sent_s=sent_s,
        ended_s=sent_s + 0.1,
        **fields,
    )


class ArrivalCheckerTest(unittest.TestCase):
    def _check(self, results, lines, disturbances=(), **limits):
        observed = arrival_checker.Observations(
            results,
            [endpoint_record.parse("desk-0", "desk", lines)],
            disturbances,
            arrival_checker.RetryLimits(**limits),
        )
        return [
            violation.invariant for violation in arrival_checker.check(observed)
        ]

    def test_calm_trial_has_no_violation(self):
        results = [_result("a", 1.0), _result("b", 2.0)]
        lines = ["arrived a 1.0", "ran a", "arrived b 2.0", "arrived b 2.1"]
        self.assertEqual(self._check(results, lines), [])

    def test_retries_beyond_ratio_and_slack(self):
        results = [_result(f"q{number}", number) for number in range(10)]
        lines = [
            f"arrived q{number} {number + offset_s}"
            for number in range(10)
            for offset_s in (0.0, 0.1)
        ]
        self.assertEqual(
            self._check(results, lines, slack=7.0),
            [invariant.Invariant.RETRIES_WITHIN_BUDGET],
        )
        self.assertEqual(self._check(results, lines, slack=9.0), [])

    def test_request_long_after_the_endpoint_said_that_it_leaves(self):
        results = [_result("a", 1.0), _result("b", 9.0)]
        lines = ["arrived a 1.0", "leaving a 1.0", "arrived b 9.0"]
        self.assertEqual(
            self._check(results, lines),
            [invariant.Invariant.NO_WORK_FOR_LEAVING_ENDPOINTS],
        )

    def test_request_of_another_gateway_may_reach_a_leaving_endpoint(self):
        results = [_result("a", 1.0), _result("b", 9.0, "front-1")]
        lines = ["arrived a 1.0", "leaving a 1.0", "arrived b 9.0"]
        self.assertEqual(self._check(results, lines), [])

    def test_restart_of_the_gateway_excuses_it(self):
        results = [_result("a", 1.0), _result("b", 9.0)]
        lines = ["arrived a 1.0", "leaving a 1.0", "arrived b 9.0"]
        restart = disturbance.Disturbance("front-0", 4.0, 5.0)
        self.assertEqual(self._check(results, lines, [restart]), [])

    def test_requests_in_a_pause(self):
        results = [_result(name, 1.0) for name in "abcd"]
        lines = [
            "arrived a 1.0",
            "paused a 1.0 4.0",
            "arrived b 2.0",
            "arrived c 2.1",
            "arrived d 2.2",
        ]
        self.assertEqual(
            self._check(results, lines), [invariant.Invariant.PAUSES_ARE_KEPT]
        )
        self.assertEqual(self._check(results, lines[:-1]), [])

    def test_requests_at_the_start_of_a_pause_are_allowed(self):
        results = [_result(name, 1.0) for name in "abcd"]
        lines = ["arrived a 1.0", "paused a 1.0 4.0"] + [
            f"arrived {name} 1.4" for name in "bcd"
        ]
        self.assertEqual(self._check(results, lines), [])

    def _poison(self, *times_s):
        results = [
            _result(f"q{number}", time_s, poison_part="poison-1")
            for number, time_s in enumerate(times_s)
        ]
        lines = [
            f"arrived {result.request_id} {result.sent_s}" for result in results
        ]
        return results, lines

    def test_prompts_with_a_poison_part_that_reach_engines_late(self):
        crashes_s = [1.0, 1.1, 1.2, 1.3, 1.4]
        results, lines = self._poison(*crashes_s, 6.0, 6.1, 6.2, 6.3)
        self.assertEqual(
            self._check(results, lines),
            [invariant.Invariant.POISON_PROMPTS_ARE_REFUSED],
        )
        self.assertEqual(self._check(results, lines[:-1]), [])

    def test_prompts_with_a_poison_part_may_arrive_before_all_know(self):
        results, lines = self._poison(*(1.0 + 0.1 * n for n in range(30)))
        self.assertEqual(self._check(results, lines), [])

    def test_gateway_that_was_cut_off_from_the_store_may_not_know(self):
        crashes_s = [1.0, 1.1, 1.2, 1.3, 1.4]
        results, lines = self._poison(*crashes_s, 6.0, 6.1, 6.2, 6.3)
        for name in ("store", "store/front-0", "front-0"):
            cut = disturbance.Disturbance(name, 2.0, 3.0)
            self.assertEqual(self._check(results, lines, [cut]), [])
        other_cut = disturbance.Disturbance("store/front-1", 2.0, 3.0)
        self.assertNotEqual(self._check(results, lines, [other_cut]), [])


if __name__ == "__main__":
    unittest.main()
