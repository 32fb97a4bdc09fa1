"""Cells of the matrix that are about a request."""

from collections.abc import Iterator
import itertools

from tools.faults import cell
from tools.faults import fault
from tools.faults import history
from tools.faults import request_kind
from tools.faults import step

_GENERATION_STEPS = (
    step.Step.ACCEPT,
    step.Step.DISPATCH,
    step.Step.FIRST_TOKEN,
    step.Step.MIDWAY,
    step.Step.LAST_TOKEN,
    step.Step.ACKNOWLEDGE,
)
_CALL_STEPS = (
    step.Step.ACCEPT,
    step.Step.CLAIM,
    step.Step.DISPATCH,
    step.Step.MIDWAY,
    step.Step.ACKNOWLEDGE,
)
_FAULTS = (
    fault.Fault.NONE,
    fault.Fault.KILL_CALLER,
    fault.Fault.FREEZE_CALLER,
    fault.Fault.KILL_GATEWAY,
    fault.Fault.FREEZE_GATEWAY,
    fault.Fault.KILL_SIDECAR,
    fault.Fault.FREEZE_SIDECAR,
    fault.Fault.KILL_ENDPOINT,
    fault.Fault.FREEZE_ENDPOINT,
    fault.Fault.RECLAIM,
    fault.Fault.LINK_STALLED,
    fault.Fault.LINK_SILENT,
    fault.Fault.PLATFORM_DOWN,
    fault.Fault.PLATFORM_SLOW,
    fault.Fault.PLATFORM_LOST_ANSWER,
)
_PASSING = frozenset(
    {
        fault.Fault.NONE,
        fault.Fault.FREEZE_CALLER,
        fault.Fault.FREEZE_GATEWAY,
        fault.Fault.FREEZE_SIDECAR,
        fault.Fault.FREEZE_ENDPOINT,
        fault.Fault.LINK_STALLED,
        fault.Fault.LINK_SILENT,
        fault.Fault.PLATFORM_SLOW,
        fault.Fault.PLATFORM_LOST_ANSWER,
    }
)
_OF_PLATFORM = frozenset(
    {
        fault.Fault.PLATFORM_DOWN,
        fault.Fault.PLATFORM_SLOW,
        fault.Fault.PLATFORM_LOST_ANSWER,
    }
)
_LOSING_DISPATCH = frozenset(
    {
        fault.Fault.KILL_GATEWAY,
        fault.Fault.KILL_SIDECAR,
        fault.Fault.KILL_ENDPOINT,
        fault.Fault.RECLAIM,
    }
)
_DEFINITE = frozenset({history.Outcome.COMPLETED, history.Outcome.NOT_RUN})
_TRUTHFUL = _DEFINITE | {
    history.Outcome.INCOMPLETE,
    history.Outcome.OUTCOME_UNKNOWN,
}
_COMPLETED = frozenset({history.Outcome.COMPLETED})


def all_cells() -> Iterator[cell.Cell]:
    """Lists every cell, applicable or not."""
    for kind in request_kind.RequestKind:
        is_call = kind is request_kind.RequestKind.CALL
        steps = _CALL_STEPS if is_call else _GENERATION_STEPS
        for held, wanted in itertools.product(steps, _FAULTS):
            yield cell.Cell(held, wanted, kind)


def not_applicable(wanted: cell.Cell) -> str | None:
    """Tells why a cell makes no sense, or None if it does."""
    whole = wanted.kind is request_kind.RequestKind.WHOLE
    if whole and wanted.step is step.Step.ACKNOWLEDGE:
        return "a whole answer is not acknowledged token by token"
    return None


def allowed_outcomes(wanted: cell.Cell) -> frozenset[history.Outcome]:
    """Tells how the request may end.

    A fault that passes, or that hits what the request does not need, must
    not show. What a fault destroys may end in any truthful answer, but a
    whole answer is run again where it may be.
    """
    if wanted.fault is fault.Fault.KILL_CALLER:
        return frozenset(history.Outcome)
    if wanted.kind is request_kind.RequestKind.CALL:
        return _allowed_for_call(wanted)
    if wanted.fault in _PASSING or wanted.fault in _OF_PLATFORM:
        return _COMPLETED
    if wanted.fault is fault.Fault.KILL_GATEWAY:
        return _COMPLETED
    if wanted.kind is request_kind.RequestKind.WHOLE:
        return _COMPLETED
    if wanted.step in (step.Step.ACCEPT, step.Step.DISPATCH):
        return _COMPLETED
    return _TRUTHFUL


def _allowed_for_call(wanted: cell.Cell) -> frozenset[history.Outcome]:
    if wanted.fault is fault.Fault.NONE:
        return _COMPLETED
    if wanted.step is step.Step.ACCEPT:
        return _DEFINITE
    if wanted.step is step.Step.CLAIM and wanted.fault not in _LOSING_DISPATCH:
        return _DEFINITE
    if wanted.fault in _PASSING:
        return _COMPLETED
    return _TRUTHFUL
