"""Tests of tools.soak.checker on histories that break each promise."""

import unittest

from standins.model_endpoint import app
from tools.soak import answer
from tools.soak import checker
from tools.soak import promise
from tools.soak import request_kind

_CALL = request_kind.RequestKind.CALL
_READ = request_kind.RequestKind.READ
_STREAM = request_kind.RequestKind.STREAM


def _events(*numbers, mark="a"):
    return b"".join(
        f"id: {number}\ndata: {mark}-{number}\n\n".encode()
        for number in numbers
    )


def _answer(request_id, kind=_CALL, status=200, body=None, **changes):
    if body is None:
        body = b"ran " + request_id.encode()
        if kind is _STREAM:
            body = _events(1, 2, 3, 4, 5)
    fields = {"is_whole": True, "came_at_s": 1.0, **changes}
    return answer.Answer(request_id, kind, status, body, **fields)


_SERVED = tuple(
    _answer(f"late-{kind.name}", kind, came_at_s=20.0)
    for kind in request_kind.RequestKind
)


class CheckerTest(unittest.TestCase):
    def broken(self, *answers, runs=()):
        history = checker.History((*answers, *_SERVED), runs, 10.0)
        return [found.promise for found in checker.check(history)]

    def test_history_that_keeps_every_promise(self):
        self.assertEqual(
            self.broken(
                _answer("a"),
                _answer("b", _READ),
                _answer("c", _STREAM),
                _answer("d", status=503, body=b"{}"),
                _answer("e", status=502, body=b"{}"),
                _answer("f", _STREAM, body=_events(1, 2), is_whole=False),
                _answer("g", status=None, body=b"", is_whole=False),
                runs=("a", "b", "b", "c", "e", "f"),
            ),
            [],
        )

    def test_two_runs_of_what_must_not_repeat(self):
        for kind in (_CALL, _STREAM):
            with self.subTest(kind=kind):
                self.assertEqual(
                    self.broken(_answer("a", kind), runs=("a", "a")),
                    [promise.Promise.AT_MOST_ONCE],
                )

    def test_refusal_of_what_has_run(self):
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                self.assertEqual(
                    self.broken(
                        _answer("a", status=status, body=b""), runs=("a",)
                    ),
                    [promise.Promise.NOT_RUN_IS_TRUE],
                )

    def test_answer_of_another_request(self):
        self.assertEqual(
            self.broken(_answer("a", body=b"ran b")),
            [promise.Promise.OWN_WHOLE_ANSWER],
        )

    def test_stream_that_ends_early_and_looks_complete(self):
        self.assertEqual(
            self.broken(_answer("a", _STREAM, body=_events(1, 2, 3))),
            [promise.Promise.OWN_WHOLE_ANSWER],
        )

    def test_events_that_are_missing_repeated_or_of_two_runs(self):
        for body in (
            _events(1, 3, 4, 5),
            _events(1, 1, 2, 3, 4),
            _events(1, 2) + _events(3, 4, 5, mark="b"),
        ):
            with self.subTest(body=body):
                self.assertEqual(
                    self.broken(
                        _answer("a", _STREAM, body=body, is_whole=False)
                    ),
                    [promise.Promise.EVENTS_IN_ORDER],
                )

    def test_run_that_nobody_asked_for(self):
        self.assertEqual(self.broken(runs=("x",)), [promise.Promise.ASKED_FOR])

    def test_kind_that_is_not_served_again(self):
        refused = _answer("a", _READ, status=503, body=b"", came_at_s=20.0)
        history = checker.History((refused, *_SERVED[::2]), (), 10.0)
        self.assertEqual(
            [found.promise for found in checker.check(history)],
            [promise.Promise.SERVES_AGAIN],
        )

    def test_length_of_streams_is_the_stand_ins(self):
        self.assertEqual(checker.EVENT_COUNT, app.EVENT_COUNT)
