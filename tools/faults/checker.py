"""Checks a history against every promise."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence

from tools.faults import history
from tools.faults import promise
from tools.faults import violation

LEAVING_GRACE_S = 3.0

_NOTHING_RAN = (history.Outcome.NOT_RUN, history.Outcome.REJECTED)
_COME_BACK = (history.Outcome.NOT_RUN, history.Outcome.IN_PROGRESS)
_NO_FINAL_ANSWER = history.Outcome.BROKEN_OFF


def check(events: Sequence[history.Event]) -> list[violation.Violation]:
    """Finds every broken promise of a history."""
    found = []
    for rule in (
        _check_tokens,
        _check_whole,
        _check_not_run,
        _check_at_most_once,
        _check_leaving,
        _check_drain,
        _check_patches,
        _check_final_answers,
    ):
        found.extend(rule(events))
    return found


def _answers(
    events: Sequence[history.Event],
) -> Iterator[history.CallerAnswer]:
    return (e for e in events if isinstance(e, history.CallerAnswer))


def _check_tokens(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for answer in _answers(events):
        indexes = [token.index for token in answer.tokens]
        if indexes != list(range(len(indexes))):
            yield violation.Violation(
                promise.Promise.TOKENS_IN_ORDER,
                f"{answer.request}: indexes {indexes[:20]}",
            )
        runs = {token.run_mark for token in answer.tokens}
        if len(runs) > 1:
            yield violation.Violation(
                promise.Promise.TOKENS_IN_ORDER,
                f"{answer.request}: tokens of generations {sorted(runs)}",
            )


def _check_whole(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for answer in _answers(events):
        marks = {token.prompt_mark for token in answer.tokens}
        if marks - {answer.prompt_mark}:
            yield violation.Violation(
                promise.Promise.OWN_WHOLE_ANSWER,
                f"{answer.request}: tokens of another request",
            )
        completed = answer.outcome is history.Outcome.COMPLETED
        if completed and len(answer.tokens) != answer.expected_tokens:
            yield violation.Violation(
                promise.Promise.OWN_WHOLE_ANSWER,
                f"{answer.request}: {len(answer.tokens)} tokens of "
                f"{answer.expected_tokens} in an answer said to be whole",
            )


def _runs_by_key(
    events: Sequence[history.Event],
) -> collections.Counter[str]:
    return collections.Counter(
        event.idempotency_key
        for event in events
        if isinstance(event, history.EndpointRun)
    )


def _check_not_run(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    runs = _runs_by_key(events)
    told: dict[str, set[history.Outcome]] = collections.defaultdict(set)
    for answer in _answers(events):
        if answer.idempotency_key:
            told[answer.idempotency_key].add(answer.outcome)
        if answer.outcome in _NOTHING_RAN and answer.tokens:
            yield violation.Violation(
                promise.Promise.NOT_RUN_IS_TRUE,
                f"{answer.request}: tokens came before the refusal",
            )
    for key, outcomes in told.items():
        if runs[key] and outcomes <= set(_NOTHING_RAN):
            yield violation.Violation(
                promise.Promise.NOT_RUN_IS_TRUE,
                f"{key}: told not run, ran {runs[key]} times",
            )
        if not runs[key] and history.Outcome.COMPLETED in outcomes:
            yield violation.Violation(
                promise.Promise.OWN_WHOLE_ANSWER,
                f"{key}: told completed, never ran",
            )


def _check_at_most_once(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for key, count in _runs_by_key(events).items():
        if count > 1:
            yield violation.Violation(
                promise.Promise.AT_MOST_ONCE, f"{key}: ran {count} times"
            )


def _check_leaving(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    leaving = {
        event.endpoint: event.at_s
        for event in events
        if isinstance(event, history.EndpointLeaving)
    }
    for event in events:
        if not isinstance(event, history.WorkStarted):
            continue
        told_s = leaving.get(event.endpoint)
        if told_s is not None and event.at_s > told_s + LEAVING_GRACE_S:
            yield violation.Violation(
                promise.Promise.LEAVING_GETS_NO_WORK,
                f"{event.endpoint}: work {event.at_s - told_s:.1f} s later",
            )


def _check_drain(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for answer in _answers(events):
        cut = answer.outcome is not history.Outcome.COMPLETED
        if answer.in_flight_at_drain and cut:
            yield violation.Violation(
                promise.Promise.DRAIN_CUTS_NOTHING,
                f"{answer.request}: {answer.outcome.value}",
            )


def _check_patches(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    accepted: dict[int, str] = {}
    in_force: dict[str, int] = {}
    for event in events:
        if isinstance(event, history.PatchAccepted):
            yield from _check_acceptance(accepted, event)
        elif isinstance(event, history.NumberInForce):
            if event.number < in_force.get(event.process, event.number):
                yield violation.Violation(
                    promise.Promise.PATCH_IN_FORCE,
                    f"{event.process}: went back to {event.number}",
                )
            in_force[event.process] = event.number
        elif isinstance(event, history.TrialEnd):
            yield from _check_end(accepted, event)


def _check_acceptance(
    accepted: dict[int, str], event: history.PatchAccepted
) -> Iterator[violation.Violation]:
    earlier = accepted.setdefault(event.number, event.patch_id)
    if earlier != event.patch_id:
        yield violation.Violation(
            promise.Promise.PATCH_IN_FORCE,
            f"two patches were accepted as number {event.number}",
        )
    if event.number <= event.base_number:
        yield violation.Violation(
            promise.Promise.PATCH_IN_FORCE,
            f"number {event.number} on base {event.base_number}",
        )


def _check_end(
    accepted: dict[int, str], event: history.TrialEnd
) -> Iterator[violation.Violation]:
    highest = max(accepted, default=0)
    for process, number in event.numbers.items():
        if number < highest:
            yield violation.Violation(
                promise.Promise.PATCH_IN_FORCE,
                f"{process}: {number} in force, {highest} accepted",
            )


def _check_final_answers(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for answer in _answers(events):
        if answer.outcome is _NO_FINAL_ANSWER:
            yield violation.Violation(
                promise.Promise.FINAL_ANSWER,
                f"{answer.request}: no final answer",
            )
        if answer.outcome in _COME_BACK and answer.retry_after_s is None:
            yield violation.Violation(
                promise.Promise.FINAL_ANSWER,
                f"{answer.request}: not told when to come back",
            )
