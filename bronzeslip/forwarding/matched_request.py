"""Requests with their route and workspace."""

import msgspec

from bronzeslip.routes import route
from bronzeslip.routes import route_table
from bronzeslip.routes import workspace


class MatchedRequest(msgspec.Struct, frozen=True):
    """What the configuration states about a request.

    Attributes:
        table: The configuration.
        route: Route that matches the request.
        workspace: Workspace of the caller, or None on public routes.
    """

    table: route_table.RouteTable
    route: route.Route
    workspace: workspace.KeyedWorkspace | None
