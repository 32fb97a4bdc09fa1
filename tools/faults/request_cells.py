"""Cells of the fault matrix that involve a request."""

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
_TRANSIENT_FAULTS = frozenset(
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
_PLATFORM_FAULTS = frozenset(
    {
        fault.Fault.PLATFORM_DOWN,
        fault.Fault.PLATFORM_SLOW,
        fault.Fault.PLATFORM_LOST_ANSWER,
    }
)
_DISPATCH_LOSING_FAULTS = frozenset(
    {
        fault.Fault.KILL_GATEWAY,
        fault.Fault.KILL_SIDECAR,
        fault.Fault.KILL_ENDPOINT,
        fault.Fault.RECLAIM,
    }
)
_DEFINITE_OUTCOMES = frozenset(
    {history.Outcome.COMPLETED, history.Outcome.NOT_RUN}
)
_ACCURATE_OUTCOMES = _DEFINITE_OUTCOMES | {
    history.Outcome.INCOMPLETE,
    history.Outcome.OUTCOME_UNKNOWN,
}
_COMPLETED_ONLY = frozenset({history.Outcome.COMPLETED})


def all_cells() -> Iterator[cell.Cell]:
    """Lists every cell, whether it is applicable or not."""
    for kind in request_kind.RequestKind:
        is_call = kind is request_kind.RequestKind.CALL
        steps = _CALL_STEPS if is_call else _GENERATION_STEPS
        for held_step, fault_kind in itertools.product(steps, _FAULTS):
            yield cell.Cell(held_step, fault_kind, kind)


def inapplicable_reason(matrix_cell: cell.Cell) -> str | None:
    """Returns why a cell is not applicable, or None if it is."""
    is_non_streamed = matrix_cell.kind is request_kind.RequestKind.NON_STREAMED
    if is_non_streamed and matrix_cell.step is step.Step.ACKNOWLEDGE:
        return "a non-streamed response is not acknowledged by token"
    return None


def allowed_outcomes(matrix_cell: cell.Cell) -> frozenset[history.Outcome]:
    """Returns the outcomes with which the request may end.

    A transient fault, or a fault in a component that the request does not
    need, must not be visible to the caller. If a fault destroys the work,
    any accurate outcome is allowed, but a non-streamed generation must be run
    again where that is permitted.
    """
    if matrix_cell.fault is fault.Fault.KILL_CALLER:
        return frozenset(history.Outcome)
    if matrix_cell.kind is request_kind.RequestKind.CALL:
        return _allowed_for_call(matrix_cell)
    if (
        matrix_cell.fault in _TRANSIENT_FAULTS
        or matrix_cell.fault in _PLATFORM_FAULTS
    ):
        return _COMPLETED_ONLY
    if matrix_cell.fault is fault.Fault.KILL_GATEWAY:
        return _COMPLETED_ONLY
    if matrix_cell.kind is request_kind.RequestKind.NON_STREAMED:
        return _COMPLETED_ONLY
    if matrix_cell.step in (step.Step.ACCEPT, step.Step.DISPATCH):
        return _COMPLETED_ONLY
    return _ACCURATE_OUTCOMES


def _allowed_for_call(matrix_cell: cell.Cell) -> frozenset[history.Outcome]:
    if matrix_cell.fault is fault.Fault.NONE:
        return _COMPLETED_ONLY
    if matrix_cell.step is step.Step.ACCEPT:
        return _DEFINITE_OUTCOMES
    if (
        matrix_cell.step is step.Step.CLAIM
        and matrix_cell.fault not in _DISPATCH_LOSING_FAULTS
    ):
        return _DEFINITE_OUTCOMES
    if matrix_cell.fault in _TRANSIENT_FAULTS:
        return _COMPLETED_ONLY
    return _ACCURATE_OUTCOMES
