"""One cell of the fault matrix."""

import msgspec

from tools.faults import fault
from tools.faults import request_kind
from tools.faults import step


class Cell(msgspec.Struct, frozen=True):
    """A fault at a step, for one kind of request if a request is involved.

    Attributes:
        step: Step at which the fault is injected.
        fault: Fault to inject.
        kind: Kind of request, or None.
    """

    step: step.Step
    fault: fault.Fault
    kind: request_kind.RequestKind | None = None

    @property
    def name(self) -> str:
        """Name of the cell in reports, also part of its random seed."""
        kind = f"{self.kind.value}, " if self.kind else ""
        return f"{kind}{self.step.value}, {self.fault.value}"
