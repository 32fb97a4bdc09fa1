"""Result of one cell of the fault matrix."""

import enum

import msgspec

from tools.faults import cell


class Verdict(enum.Enum):
    """Verdict on a cell."""

    PASSED = "passed"
    FAILED = "failed"
    NOT_APPLICABLE = "not applicable"
    NOT_RUN = "not run"


class CellResult(msgspec.Struct, frozen=True):
    """Result of one cell.

    Attributes:
        cell: The cell.
        verdict: Verdict on the cell.
        detail: Why the cell is not applicable, or the violations found.
        duration_s: Duration of the trial, in seconds.
    """

    cell: cell.Cell
    verdict: Verdict
    detail: str = ""
    duration_s: float = 0.0
