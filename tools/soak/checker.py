"""Checks the observations of callers and endpoints for violations."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import re

import msgspec

from standins.stuttering import sent_response
from tools.soak import arrival_checker
from tools.soak import invariant
from tools.soak import process_checker
from tools.soak import process_record
from tools.soak import request_kind
from tools.soak import request_result
from tools.soak import response_checker
from tools.soak import violation

EVENT_COUNT = 5

_OK_STATUS = 200
# Refusals that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)-(\d+)\n\n")


class History(msgspec.Struct, frozen=True):
    """One trial, as observed from outside the system.

    Attributes:
        results: Results, one for each request that was sent.
        runs: Ids of the requests that endpoints ran, one for each run.
        recovered_at_s: End of the recovery time after the last fault, in
            seconds from the start.
        observed: Arrivals at the endpoints.
        processes: Records of the processes of all gateways.
        sent_responses: Responses that stuttering endpoints have sent.
    """

    results: Sequence[request_result.RequestResult]
    runs: Sequence[str]
    recovered_at_s: float
    observed: arrival_checker.Observations = arrival_checker.Observations()
    processes: Sequence[process_record.ProcessRecord] = ()
    sent_responses: Sequence[sent_response.SentResponse] = ()


def check(history: History) -> list[violation.Violation]:
    """Returns every violation found in a trial."""
    runs = collections.Counter(history.runs)
    violations = list(_check_only_sent(history))
    for result in history.results:
        violations += check_runs(result, runs[result.request_id])
        violations += _check_body(result)
    violations += response_checker.check(
        history.results, history.sent_responses
    )
    violations += _check_recovery(history)
    violations += arrival_checker.check(history.observed)
    violations += process_checker.check(history.processes)
    return violations


def _check_only_sent(history: History) -> Iterator[violation.Violation]:
    sent_ids = {result.request_id for result in history.results}
    for request_id in sorted(set(history.runs) - sent_ids):
        yield violation.Violation(
            invariant.Invariant.ONLY_SENT_REQUESTS,
            request_id,
            "no caller sent it",
        )


def check_runs(
    result: request_result.RequestResult, runs: int
) -> Iterator[violation.Violation]:
    """Returns the violations of one request by the number of its runs."""
    if runs > 1 and not result.kind.may_repeat:
        yield violation.Violation(
            invariant.Invariant.AT_MOST_ONCE, result.request_id, f"{runs} runs"
        )
    if (
        runs
        and result.status in NOT_RUN_STATUSES
        and not result.kind.may_repeat
    ):
        yield violation.Violation(
            invariant.Invariant.NOT_RUN_IS_ACCURATE,
            result.request_id,
            f"status {result.status}, {runs} runs",
        )


def _check_body(
    result: request_result.RequestResult,
) -> Iterator[violation.Violation]:
    if result.status != _OK_STATUS:
        return
    if result.kind is request_kind.RequestKind.STREAM:
        yield from _check_events(result)
    elif (
        result.is_complete
        and result.body != b"ran " + result.request_id.encode()
    ):
        yield violation.Violation(
            invariant.Invariant.OWN_COMPLETE_RESULT,
            result.request_id,
            f"body {result.body[:80]!r}",
        )


def _check_events(
    result: request_result.RequestResult,
) -> Iterator[violation.Violation]:
    events = _EVENT.findall(result.body)
    numbers = [int(number) for _, _, number in events]
    event_ids = [int(event_id) for event_id, _, _ in events]
    stream_ids = {stream_id for _, stream_id, _ in events}
    expected = list(range(1, len(events) + 1))
    if numbers != expected or event_ids != expected or len(stream_ids) > 1:
        yield violation.Violation(
            invariant.Invariant.EVENTS_IN_ORDER,
            result.request_id,
            f"events {numbers} of {len(stream_ids)} runs",
        )
    if result.is_complete and len(events) != EVENT_COUNT:
        yield violation.Violation(
            invariant.Invariant.OWN_COMPLETE_RESULT,
            result.request_id,
            f"complete response with {len(events)} events",
        )


def _check_recovery(history: History) -> Iterator[violation.Violation]:
    for kind in request_kind.RequestKind:
        later = [
            result
            for result in history.results
            if result.kind is kind
            and result.ended_at_s > history.recovered_at_s
        ]
        served = [
            result
            for result in later
            if result.status == _OK_STATUS and result.is_complete
        ]
        if not served:
            yield violation.Violation(
                invariant.Invariant.RECOVERS_AFTER_FAULTS,
                "",
                f"{kind.name}: none of {len(later)} requests served",
            )
