"""Decision on the placement of a generation."""

import msgspec

from bronzeslip import ids
from bronzeslip.placement import placement_verdict


class PlacementDecision(msgspec.Struct, frozen=True):
    """Decision of a placement policy.

    Attributes:
        verdict: What the asking gateway is to do.
        endpoint_id: Selected endpoint, or None unless placed.
        retry_after_s: Time until the gateway (deferred) or the client (refused)
            is to ask again, in seconds; 0 if placed.
    """

    verdict: placement_verdict.PlacementVerdict
    endpoint_id: ids.EndpointId | None = None
    retry_after_s: float = 0.0
