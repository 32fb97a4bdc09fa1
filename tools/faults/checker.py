"""Checks a history against every invariant."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence

from tools.faults import history
from tools.faults import invariant
from tools.faults import violation

LEAVING_GRACE_S = 3.0

_NOT_EXECUTED_OUTCOMES = (history.Outcome.NOT_RUN, history.Outcome.REJECTED)
_RETRY_OUTCOMES = (history.Outcome.NOT_RUN, history.Outcome.IN_PROGRESS)
_NO_FINAL_RESULT = history.Outcome.INTERRUPTED


def check(events: Sequence[history.Event]) -> list[violation.Violation]:
    """Returns every violation found in a history."""
    violations = []
    for rule in (
        _check_tokens,
        _check_completeness,
        _check_not_run,
        _check_at_most_once,
        _check_leaving,
        _check_drain,
        _check_patches,
        _check_final_results,
    ):
        violations.extend(rule(events))
    return violations


def _results(
    events: Sequence[history.Event],
) -> Iterator[history.RequestResult]:
    return (e for e in events if isinstance(e, history.RequestResult))


def _check_tokens(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for result in _results(events):
        indexes = [token.index for token in result.tokens]
        if indexes != list(range(len(indexes))):
            yield violation.Violation(
                invariant.Invariant.TOKENS_IN_ORDER,
                f"{result.request}: indexes {indexes[:20]}",
            )
        runs = {token.run_prefix for token in result.tokens}
        if len(runs) > 1:
            yield violation.Violation(
                invariant.Invariant.TOKENS_IN_ORDER,
                f"{result.request}: tokens of generations {sorted(runs)}",
            )


def _check_completeness(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for result in _results(events):
        fingerprints = {token.prompt_fingerprint for token in result.tokens}
        if fingerprints - {result.prompt_fingerprint}:
            yield violation.Violation(
                invariant.Invariant.OWN_COMPLETE_RESULT,
                f"{result.request}: tokens of another request",
            )
        completed = result.outcome is history.Outcome.COMPLETED
        if completed and len(result.tokens) != result.expected_tokens:
            yield violation.Violation(
                invariant.Invariant.OWN_COMPLETE_RESULT,
                f"{result.request}: {len(result.tokens)} tokens of "
                f"{result.expected_tokens} in a completed result",
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
    outcomes_by_key: dict[str, set[history.Outcome]] = collections.defaultdict(
        set
    )
    for result in _results(events):
        if result.idempotency_key:
            outcomes_by_key[result.idempotency_key].add(result.outcome)
        if result.outcome in _NOT_EXECUTED_OUTCOMES and result.tokens:
            yield violation.Violation(
                invariant.Invariant.NOT_RUN_IS_ACCURATE,
                f"{result.request}: tokens arrived before the refusal",
            )
    for key, outcomes in outcomes_by_key.items():
        if runs[key] and outcomes <= set(_NOT_EXECUTED_OUTCOMES):
            yield violation.Violation(
                invariant.Invariant.NOT_RUN_IS_ACCURATE,
                f"{key}: reported as not run, ran {runs[key]} times",
            )
        if not runs[key] and history.Outcome.COMPLETED in outcomes:
            yield violation.Violation(
                invariant.Invariant.OWN_COMPLETE_RESULT,
                f"{key}: reported as completed, did not run",
            )


def _check_at_most_once(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for key, count in _runs_by_key(events).items():
        if count > 1:
            yield violation.Violation(
                invariant.Invariant.AT_MOST_ONCE, f"{key}: ran {count} times"
            )


def _check_leaving(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    leaving_times = {
        event.endpoint: event.at_s
        for event in events
        if isinstance(event, history.EndpointLeaving)
    }
    for event in events:
        if not isinstance(event, history.WorkStarted):
            continue
        leaving_s = leaving_times.get(event.endpoint)
        if leaving_s is not None and event.at_s > leaving_s + LEAVING_GRACE_S:
            yield violation.Violation(
                invariant.Invariant.NO_NEW_WORK_WHEN_LEAVING,
                f"{event.endpoint}: new work {event.at_s - leaving_s:.1f} s "
                "after it was told to leave",
            )


def _check_drain(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for result in _results(events):
        was_interrupted = result.outcome is not history.Outcome.COMPLETED
        if result.in_flight_at_drain and was_interrupted:
            yield violation.Violation(
                invariant.Invariant.DRAIN_INTERRUPTS_NOTHING,
                f"{result.request}: {result.outcome.value}",
            )


def _check_patches(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    accepted: dict[int, str] = {}
    numbers_in_force: dict[str, int] = {}
    for event in events:
        if isinstance(event, history.PatchAccepted):
            yield from _check_acceptance(accepted, event)
        elif isinstance(event, history.NumberInForce):
            if event.number < numbers_in_force.get(event.process, event.number):
                yield violation.Violation(
                    invariant.Invariant.PATCH_STAYS_IN_FORCE,
                    f"{event.process}: number decreased to {event.number}",
                )
            numbers_in_force[event.process] = event.number
        elif isinstance(event, history.TrialEnd):
            yield from _check_final_numbers(accepted, event)


def _check_acceptance(
    accepted: dict[int, str], event: history.PatchAccepted
) -> Iterator[violation.Violation]:
    known_patch_id = accepted.setdefault(event.number, event.patch_id)
    if known_patch_id != event.patch_id:
        yield violation.Violation(
            invariant.Invariant.PATCH_STAYS_IN_FORCE,
            f"two patches were accepted as number {event.number}",
        )
    if event.number <= event.base_number:
        yield violation.Violation(
            invariant.Invariant.PATCH_STAYS_IN_FORCE,
            f"number {event.number} is not above base {event.base_number}",
        )


def _check_final_numbers(
    accepted: dict[int, str], event: history.TrialEnd
) -> Iterator[violation.Violation]:
    highest = max(accepted, default=0)
    for process, number in event.numbers.items():
        if number < highest:
            yield violation.Violation(
                invariant.Invariant.PATCH_STAYS_IN_FORCE,
                f"{process}: number {number} in force, {highest} accepted",
            )


def _check_final_results(
    events: Sequence[history.Event],
) -> Iterator[violation.Violation]:
    for result in _results(events):
        if result.outcome is _NO_FINAL_RESULT:
            yield violation.Violation(
                invariant.Invariant.FINAL_RESULT,
                f"{result.request}: no final result",
            )
        if result.outcome in _RETRY_OUTCOMES and result.retry_after_s is None:
            yield violation.Violation(
                invariant.Invariant.FINAL_RESULT,
                f"{result.request}: no retry delay given",
            )
