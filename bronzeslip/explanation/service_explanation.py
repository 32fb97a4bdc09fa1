"""Decision of a gateway for one service of a route."""

import msgspec

from bronzeslip import ids
from bronzeslip.explanation import decision
from bronzeslip.explanation import endpoint_explanation


class ServiceExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway would do with a request to one service of its route.

    Attributes:
        service: Name of the service.
        share: Share of the route's requests that the service receives.
        is_coordinated: Whether a coordinator places the request.
        coordinators: Gateways that would be asked, in order.
        decision: What the gateway would do.
        endpoints: All known endpoints of the service.
    """

    service: ids.ServiceName
    share: float
    is_coordinated: bool
    coordinators: tuple[ids.VmId, ...]
    decision: decision.Decision
    endpoints: tuple[endpoint_explanation.EndpointExplanation, ...]
