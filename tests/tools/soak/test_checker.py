"""Tests of tools.soak.checker with a violation of each invariant."""

import unittest

from standins.model_endpoint import app
from tools.soak import checker
from tools.soak import invariant
from tools.soak import request_kind
from tools.soak import request_result

_CALL = request_kind.RequestKind.CALL
_READ = request_kind.RequestKind.READ
_STREAM = request_kind.RequestKind.STREAM


def _events(*numbers, stream_id="a"):
    return b"".join(
        f"id: {number}\ndata: {stream_id}-{number}\n\n".encode()
        for number in numbers
    )


def _result(request_id, kind=_CALL, status=200, body=None, **overrides):
    if body is None:
        body = b"ran " + request_id.encode()
        if kind is _STREAM:
            body = _events(1, 2, 3, 4, 5)
    fields = {
        "is_complete": True,
        "ended_at_s": 1.0,
        "stamp": "stamp",
        **overrides,
    }
    return request_result.RequestResult(
        request_id, kind, status, body, **fields
    )


_SERVED_AFTER_RECOVERY = tuple(
    _result(f"late-{kind.name}", kind, ended_at_s=20.0)
    for kind in request_kind.RequestKind
)


class CheckerTest(unittest.TestCase):
    def violated(self, *results, runs=()):
        history = checker.History(
            (*results, *_SERVED_AFTER_RECOVERY), runs, 10.0
        )
        return [violation.invariant for violation in checker.check(history)]

    def test_history_without_violations(self):
        self.assertEqual(
            self.violated(
                _result("a"),
                _result("b", _READ),
                _result("c", _STREAM),
                _result("d", status=503, body=b"{}"),
                _result("e", status=502, body=b"{}"),
                _result("f", _STREAM, body=_events(1, 2), is_complete=False),
                _result("g", status=None, body=b"", is_complete=False),
                runs=("a", "b", "b", "c", "e", "f"),
            ),
            [],
        )

    def test_request_that_must_not_repeat_ran_twice(self):
        for kind in (_CALL, _STREAM):
            with self.subTest(kind=kind):
                self.assertEqual(
                    self.violated(_result("a", kind), runs=("a", "a")),
                    [invariant.Invariant.AT_MOST_ONCE],
                )

    def test_refusal_of_a_request_that_ran(self):
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                self.assertEqual(
                    self.violated(
                        _result("a", status=status, body=b""), runs=("a",)
                    ),
                    [invariant.Invariant.NOT_RUN_IS_ACCURATE],
                )

    def test_body_of_another_request(self):
        self.assertEqual(
            self.violated(_result("a", body=b"ran b")),
            [invariant.Invariant.OWN_COMPLETE_RESULT],
        )

    def test_response_that_no_endpoint_sent(self):
        for stamp in ("", "i.0, i.1"):
            with self.subTest(stamp=stamp):
                self.assertEqual(
                    self.violated(_result("a", stamp=stamp)),
                    [invariant.Invariant.OWN_RESPONSE],
                )

    def test_complete_stream_with_missing_events(self):
        self.assertEqual(
            self.violated(_result("a", _STREAM, body=_events(1, 2, 3))),
            [invariant.Invariant.OWN_COMPLETE_RESULT],
        )

    def test_missing_repeated_or_mixed_events(self):
        for body in (
            _events(1, 3, 4, 5),
            _events(1, 1, 2, 3, 4),
            _events(1, 2) + _events(3, 4, 5, stream_id="b"),
        ):
            with self.subTest(body=body):
                self.assertEqual(
                    self.violated(
                        _result("a", _STREAM, body=body, is_complete=False)
                    ),
                    [invariant.Invariant.EVENTS_IN_ORDER],
                )

    def test_run_of_a_request_that_was_not_sent(self):
        self.assertEqual(
            self.violated(runs=("x",)), [invariant.Invariant.ONLY_SENT_REQUESTS]
        )

    def test_kind_not_served_after_recovery(self):
        refused_result = _result(
            "a", _READ, status=503, body=b"", ended_at_s=20.0
        )
        history = checker.History(
            (refused_result, *_SERVED_AFTER_RECOVERY[::2]), (), 10.0
        )
        self.assertEqual(
            [violation.invariant for violation in checker.check(history)],
            [invariant.Invariant.RECOVERS_AFTER_FAULTS],
        )

    def test_stream_length_matches_the_stand_in(self):
        self.assertEqual(checker.EVENT_COUNT, app.EVENT_COUNT)
