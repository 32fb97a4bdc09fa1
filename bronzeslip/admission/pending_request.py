"""Request that waits for admission to the engine."""

import asyncio

from bronzeslip.admission import memory_forecast
from bronzeslip.admission import request
from bronzeslip.configuration import workspace


class PendingRequest:
    """A queued request with its expected cost.

    Attributes:
        request: Admission request.
        sequence: Sequence that represents it in the memory forecast.
        cost_s: Expected cost as exclusive engine time, in seconds.
        rank: Position in the queue; the smallest is admitted first.
        admitted: Future that is resolved when the request is admitted.
    """

    def __init__(
        self,
        admission_request: request.AdmissionRequest,
        sequence: memory_forecast.ForecastSequence,
        cost_s: float,
    ) -> None:
        self.request = admission_request
        self.sequence = sequence
        self.cost_s = cost_s
        self.rank = 0.0
        self.admitted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_interactive(self) -> bool:
        """Whether the request belongs to the interactive class."""
        workspace_class = self.request.workspace_class
        return workspace_class is workspace.WorkspaceClass.INTERACTIVE
