"""A request that waits for a place on the engine."""

import asyncio

from bronzeslip.admission import memory_forecast
from bronzeslip.admission import request
from bronzeslip.configuration import workspace


class PendingRequest:
    """One waiting request.

    Attributes:
        request: What waits.
        sequence: What it would take of the memory.
        cost_s: Time of the whole engine that it probably needs, in seconds.
        rank: Place in the order; smaller goes first.
        admitted: Done when it has a place.
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
        """Whether a caller waits for a short answer."""
        workspace_class = self.request.workspace_class
        return workspace_class is workspace.WorkspaceClass.INTERACTIVE
