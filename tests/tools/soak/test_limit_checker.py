"""Tests of tools.soak.limit_checker."""

import unittest

from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import limit_checker
from tools.soak import request_kind
from tools.soak import request_result

_RATE_PER_S = 2.0
# One and a half times what the limit allows in four seconds, and five more.
_ALLOWED = 17


class LimitCheckerTest(unittest.TestCase):
    def setUp(self):
        self.sent = {}
        self.lines = []

    def _add(self, sent_s, gateway="front-0", rate_per_s=_RATE_PER_S):
        request_id = f"q{len(self.sent)}"
        self.sent[request_id] = request_result.RequestResult(
            request_id,
            request_kind.RequestKind.READ,
            200,
            b"",
            True,
            gateway=gateway,
            sent_s=sent_s,
            ended_s=sent_s,
        )
        self.lines.append(f"arrived {request_id} {sent_s}")
        if rate_per_s is not None:
            self.lines.append(f"limited {request_id} {sent_s} {rate_per_s}")

    def _add_burst(self, count, from_s, **fields):
        for number in range(count):
            self._add(from_s + 3.9 * number / count, **fields)

    def _check(self, *disturbances):
        record = endpoint_record.parse("desk-0", "desk", self.lines)
        return [
            found.invariant
            for found in limit_checker.check(record, self.sent, disturbances)
        ]

    def test_allowed_requests_in_a_window(self):
        self._add(0.0)
        self._add_burst(_ALLOWED, 5.0)
        self.assertEqual(self._check(), [])

    def test_one_request_more(self):
        self._add(0.0)
        self._add_burst(_ALLOWED + 1, 5.0)
        self.assertEqual(self._check(), [invariant.Invariant.LIMITS_ARE_KEPT])

    def test_requests_of_all_gateways_are_added(self):
        for gateway in ("front-0", "front-1"):
            self._add(0.0, gateway)
            self._add_burst(_ALLOWED // 2 + 1, 5.0, gateway=gateway)
        self.assertEqual(self._check(), [invariant.Invariant.LIMITS_ARE_KEPT])

    def test_requests_within_the_contact_time_do_not_count(self):
        self._add(0.0)
        self._add_burst(2 * _ALLOWED, 0.05)
        self.assertEqual(self._check(), [])

    def test_gateway_that_was_not_told_does_not_count(self):
        self._add(0.0)
        self._add_burst(2 * _ALLOWED, 5.0, gateway="front-1", rate_per_s=None)
        self.assertEqual(self._check(), [])

    def test_gateway_counts_half_a_second_after_it_was_told(self):
        self._add(0.0)
        self._add(5.0, "front-1")
        for number in range(2 * _ALLOWED):
            self._add(5.0 + 0.01 * number, "front-1")
        self.assertEqual(self._check(), [])
        for number in range(2 * _ALLOWED):
            self._add(5.6 + 0.01 * number, "front-1")
        self.assertEqual(self._check(), [invariant.Invariant.LIMITS_ARE_KEPT])

    def test_restart_excuses_its_gateway(self):
        self._add(0.0)
        self._add_burst(2 * _ALLOWED, 5.0)
        restart = disturbance.Disturbance("front-0", 4.0, 6.0)
        self.assertEqual(self._check(restart), [])

    def test_requests_after_the_end_of_the_limit_do_not_count(self):
        self._add(0.0)
        self.lines.append("unlimited - 5.0")
        self._add_burst(2 * _ALLOWED, 5.0, rate_per_s=None)
        self.assertEqual(self._check(), [])

    def test_second_limit_starts_its_own_contact_time(self):
        self._add(0.0)
        self.lines.append("unlimited - 5.0")
        self._add_burst(2 * _ALLOWED, 6.0)
        self.assertEqual(self._check(), [])

    def test_unreadable_limits_do_not_count(self):
        self._add(0.0, rate_per_s="many")
        self._add_burst(2 * _ALLOWED, 5.0, rate_per_s="many")
        self.assertEqual(self._check(), [])


if __name__ == "__main__":
    unittest.main()
