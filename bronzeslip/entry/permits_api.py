"""HTTP interface through which other gateways ask for permits."""

import litestar
from litestar import handlers

from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request

_OK_STATUS = 200


def handler(
    coordinator: permit_coordinator.PermitCoordinator,
) -> handlers.BaseRouteHandler:
    """Returns the handler of POST /permits.

    Args:
        coordinator: Decides on the permits.
    """

    @litestar.post("/permits", status_code=_OK_STATUS)
    async def decide(
        data: permit_request.PermitRequest,
    ) -> permit_reply.PermitReply:
        return coordinator.decide(data)

    return decide
