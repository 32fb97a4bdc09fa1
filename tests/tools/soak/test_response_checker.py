"""Tests of tools.soak.response_checker with each violation."""

import unittest

from standins.stuttering import sent_response
from tools.soak import invariant
from tools.soak import request_kind
from tools.soak import request_result
from tools.soak import response_checker

_SENT = (
    sent_response.SentResponse("a", 200, "i.0", b"ran a", True),
    sent_response.SentResponse("b", 500, "i.1", b"500 of b", True),
)


def _result(request_id, status, stamp, body, is_complete=True):
    return request_result.RequestResult(
        request_id,
        request_kind.RequestKind.READ,
        status,
        body,
        is_complete,
        stamp=stamp,
    )


class ResponseCheckerTest(unittest.TestCase):
    def _assert_violated(self, *result_fields):
        result = _result(*result_fields)
        violations = list(response_checker.check([result], _SENT))
        self.assertEqual(
            [(item.invariant, item.request_id) for item in violations],
            [(invariant.Invariant.OWN_RESPONSE, result.request_id)],
        )

    def test_responses_as_they_were_sent(self):
        results = [
            _result("a", 200, "i.0", b"ran a"),
            _result("a", 200, "i.0", b"ra", is_complete=False),
            _result("b", 500, "i.1", b"500 of b"),
            _result("c", 502, "", b"{}"),
            _result("d", None, "", b"", is_complete=False),
            _result("e", 200, "stamp", b"ran e"),
        ]
        self.assertEqual(list(response_checker.check(results, _SENT)), [])

    def test_success_in_place_of_a_failure(self):
        self._assert_violated("b", 200, "i.1", b"500 of b")

    def test_failure_of_another_status(self):
        self._assert_violated("b", 504, "i.1", b"500 of b")

    def test_response_to_another_request(self):
        self._assert_violated("b", 200, "i.0", b"ran a")

    def test_other_body(self):
        self._assert_violated("a", 200, "i.0", b"ran b")
        self._assert_violated("a", 200, "i.0", b"ran ab")
        self._assert_violated("a", 200, "i.0", b"rb", False)

    def test_part_of_the_body_as_a_whole(self):
        self._assert_violated("a", 200, "i.0", b"ran")

    def test_success_without_a_stamp(self):
        self._assert_violated("a", 200, "", b"ran a")

    def test_stamps_of_two_responses(self):
        self._assert_violated("a", 200, "i.1, i.0", b"ran a")


if __name__ == "__main__":
    unittest.main()
