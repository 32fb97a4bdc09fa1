"""A request that waits for a place on the engine."""

import asyncio

from bronzeslip.admission import memory_forecast
from bronzeslip.admission import request
from bronzeslip.configuration import workspace


class Pending:
    """One waiting request.

    Attributes:
        request: What waits.
        occupant: What it would take of the memory.
        cost_s: Time of the whole engine that it probably needs, in seconds.
        rank: Place in the order; smaller goes first.
        admitted: Done when it has a place.
    """

    def __init__(
        self,
        waiting: request.AdmissionRequest,
        occupant: memory_forecast.Occupant,
        cost_s: float,
    ) -> None:
        self.request = waiting
        self.occupant = occupant
        self.cost_s = cost_s
        self.rank = 0.0
        self.admitted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_interactive(self) -> bool:
        """Whether a caller waits for a short answer."""
        kind = self.request.workspace_class
        return kind is workspace.WorkspaceClass.INTERACTIVE
