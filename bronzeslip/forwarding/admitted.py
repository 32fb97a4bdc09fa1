"""A request whose route and workspace are known."""

import asyncio

import msgspec

from bronzeslip import ids
from bronzeslip.forwarding import incoming
from bronzeslip.routes import route
from bronzeslip.routes import service


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that the configuration allows.

    Attributes:
        request: The request.
        route: Route that takes it.
        service: Service that serves it.
        workspace_id: Workspace of the caller, or None on public routes.
        configuration: Version of the configuration that allows it.
        priority: Rank, 0 first.
        deadline_s: When its time is over, on the loop's clock.
    """

    request: incoming.IncomingRequest
    route: route.Route
    service: service.Service
    workspace_id: ids.WorkspaceId | None
    configuration: ids.TableVersion
    priority: int
    deadline_s: float

    @property
    def remaining_s(self) -> float:
        """Time left, in seconds."""
        return self.deadline_s - asyncio.get_running_loop().time()

    @property
    def remaining_objective_s(self) -> float:
        """Time left in which the answer is on time, in seconds."""
        elapsed_s = asyncio.get_running_loop().time() - self.request.arrived_s
        return self.route.objective_s - elapsed_s
