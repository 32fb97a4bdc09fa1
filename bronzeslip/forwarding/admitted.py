"""Requests with their resolved route and workspace."""

import asyncio

import msgspec

from bronzeslip import ids
from bronzeslip.forwarding import incoming
from bronzeslip.routes import route
from bronzeslip.routes import service


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that the current configuration allows.

    Attributes:
        request: Request of the caller.
        route: Route that matches the request.
        service: Service selected for the request.
        workspace_id: Workspace of the caller, or None on public routes.
        configuration: Version of the configuration used for admission.
        configuration_age_s: Time since this version was known to be the newest
            one, in seconds, or None if it never was.
        priority: Scheduling priority; 0 is served first.
        deadline_s: Deadline on the event loop's clock, in seconds.
        permitted_regions: Regions of the endpoints that the request and copies
            of its memory may be sent to, or None if they may be sent anywhere.
    """

    request: incoming.IncomingRequest
    route: route.Route
    service: service.Service
    workspace_id: ids.WorkspaceId | None
    configuration: ids.TableVersion
    priority: int
    deadline_s: float
    permitted_regions: frozenset[ids.RegionName] | None = None
    configuration_age_s: float | None = None

    @property
    def remaining_s(self) -> float:
        """Time left until the deadline, in seconds."""
        return self.deadline_s - asyncio.get_running_loop().time()

    @property
    def remaining_objective_s(self) -> float:
        """Time left until the response misses its objective, in seconds."""
        elapsed_s = asyncio.get_running_loop().time() - self.request.arrived_s
        return self.route.objective_s - elapsed_s
