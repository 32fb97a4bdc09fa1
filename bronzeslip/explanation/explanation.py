"""Explanation of where a request would be sent."""

import msgspec

from bronzeslip import ids
from bronzeslip.explanation import decision
from bronzeslip.explanation import service_explanation


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a gateway would send a request now, and why.

    The key of the request is not part of it.

    Attributes:
        gateway: VM of the gateway.
        configuration: Version of the configuration, or None without one.
        route: Name of the matched route, or None if the request is refused
            before.
        workspace: Workspace of the key, or None.
        permitted_regions: Regions that the request may be sent to, or None if
            it may be sent anywhere.
        refusal: Refusal that does not depend on the service, or None.
        services: What would be done for each service of the route. A request
            goes to one of them, at random by their shares.
    """

    gateway: ids.VmId
    configuration: ids.TableVersion | None = None
    route: ids.RouteName | None = None
    workspace: ids.WorkspaceId | None = None
    permitted_regions: tuple[ids.RegionName, ...] | None = None
    refusal: decision.Decision | None = None
    services: tuple[service_explanation.ServiceExplanation, ...] = ()
