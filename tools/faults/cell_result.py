"""Result of one cell."""

import enum

import msgspec

from tools.faults import cell


class Verdict(enum.Enum):
    """What a cell showed."""

    PASSED = "passed"
    FAILED = "failed"
    NOT_APPLICABLE = "not applicable"
    NOT_RUN = "not run"


class CellResult(msgspec.Struct, frozen=True):
    """Verdict of one cell.

    Attributes:
        cell: The cell.
        verdict: What it showed.
        detail: Reason or violations.
        duration_s: Time it took, in seconds.
    """

    cell: cell.Cell
    verdict: Verdict
    detail: str = ""
    duration_s: float = 0.0
