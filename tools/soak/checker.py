"""Checks what callers and endpoints have seen against every promise."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import re

import msgspec

from tools.soak import answer
from tools.soak import promise
from tools.soak import request_kind
from tools.soak import violation

EVENT_COUNT = 5

_OK_STATUS = 200
# Refusals that say that the request has not run and will not.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)-(\d+)\n\n")


class History(msgspec.Struct, frozen=True):
    """One trial as seen from outside.

    Attributes:
        answers: Answers, one for each request that was sent.
        runs: Ids of the requests that endpoints ran, one for each run.
        healed_at_s: When the last fault was over, in seconds from the start.
    """

    answers: Sequence[answer.Answer]
    runs: Sequence[str]
    healed_at_s: float


def check(history: History) -> list[violation.Violation]:
    """Finds every broken promise of a trial."""
    runs = collections.Counter(history.runs)
    found = list(_check_asked_for(history))
    for got in history.answers:
        found += _check_runs(got, runs[got.request_id])
        found += _check_body(got)
    found += _check_serves_again(history)
    return found


def _check_asked_for(history: History) -> Iterator[violation.Violation]:
    asked = {got.request_id for got in history.answers}
    for request_id in sorted(set(history.runs) - asked):
        yield violation.Violation(
            promise.Promise.ASKED_FOR, request_id, "nobody has sent it"
        )


def _check_runs(got: answer.Answer, runs: int) -> Iterator[violation.Violation]:
    if runs > 1 and not got.kind.may_repeat:
        yield violation.Violation(
            promise.Promise.AT_MOST_ONCE, got.request_id, f"{runs} runs"
        )
    if runs and got.status in _NOT_RUN_STATUSES and not got.kind.may_repeat:
        yield violation.Violation(
            promise.Promise.NOT_RUN_IS_TRUE,
            got.request_id,
            f"status {got.status}, {runs} runs",
        )


def _check_body(got: answer.Answer) -> Iterator[violation.Violation]:
    if got.status != _OK_STATUS:
        return
    if got.kind is request_kind.RequestKind.STREAM:
        yield from _check_events(got)
    elif got.is_whole and got.body != b"ran " + got.request_id.encode():
        yield violation.Violation(
            promise.Promise.OWN_WHOLE_ANSWER,
            got.request_id,
            f"body {got.body[:80]!r}",
        )


def _check_events(got: answer.Answer) -> Iterator[violation.Violation]:
    events = _EVENT.findall(got.body)
    numbers = [int(number) for _, _, number in events]
    event_ids = [int(event_id) for event_id, _, _ in events]
    marks = {mark for _, mark, _ in events}
    expected = list(range(1, len(events) + 1))
    if numbers != expected or event_ids != expected or len(marks) > 1:
        yield violation.Violation(
            promise.Promise.EVENTS_IN_ORDER,
            got.request_id,
            f"events {numbers} of {len(marks)} runs",
        )
    if got.is_whole and len(events) != EVENT_COUNT:
        yield violation.Violation(
            promise.Promise.OWN_WHOLE_ANSWER,
            got.request_id,
            f"ended as complete after {len(events)} events",
        )


def _check_serves_again(history: History) -> Iterator[violation.Violation]:
    for kind in request_kind.RequestKind:
        late = [
            got
            for got in history.answers
            if got.kind is kind and got.came_at_s > history.healed_at_s
        ]
        served = [
            got for got in late if got.status == _OK_STATUS and got.is_whole
        ]
        if not served:
            yield violation.Violation(
                promise.Promise.SERVES_AGAIN,
                "",
                f"{kind.name}: none of {len(late)} served",
            )
