"""HTTP interface through which other gateways ask for placements."""

import litestar
from litestar import handlers

from bronzeslip.placement import placement_coordinator
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request

_OK_STATUS = 200


def handler(
    coordinator: placement_coordinator.PlacementCoordinator,
) -> handlers.BaseRouteHandler:
    """Returns the handler of POST /placements.

    Args:
        coordinator: Decides on the placements.
    """

    @litestar.post("/placements", status_code=_OK_STATUS)
    async def place(
        data: placement_request.PlacementRequest,
    ) -> placement_reply.PlacementReply:
        return coordinator.decide(data)

    return place
