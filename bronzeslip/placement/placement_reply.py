"""Reply to a request for a placement."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields
from bronzeslip.placement import placement_verdict


class PlacementReply(msgspec.Struct, frozen=True):
    """Reply of a coordinator.

    Attributes:
        verdict: What the asking gateway is to do.
        endpoint_id: Selected endpoint if placed.
        started_unix_ms: Start time of its incarnation, in milliseconds.
        retry_after_s: Time until the gateway (deferred) or the client (refused)
            is to ask again, in seconds.
        wait_s: Forecast time to the first token if placed, in seconds.
    """

    verdict: placement_verdict.PlacementVerdict
    endpoint_id: ids.EndpointId | None = None
    started_unix_ms: fields.Count = 0
    retry_after_s: fields.NonNegativeQuantity = 0.0
    wait_s: fields.NonNegativeQuantity = 0.0


NOT_RESPONSIBLE = PlacementReply(
    placement_verdict.PlacementVerdict.NOT_RESPONSIBLE
)
