"""Endpoint at which a generation may be placed."""

import msgspec

from bronzeslip import ids


class PlacementOption(msgspec.Struct, frozen=True):
    """Forecast of one candidate endpoint for one generation.

    Attributes:
        endpoint_id: Id of the endpoint.
        cost_s: Cost of the placement, in seconds.
        wait_s: Forecast time to the generation's first token, in seconds.
        free_tokens: Memory that is neither used, held nor expected to be used
            by requests already placed there, in tokens.
        queued_prefill_s: Time to process the prompts already queued there, in
            seconds.
    """

    endpoint_id: ids.EndpointId
    cost_s: float
    wait_s: float
    free_tokens: int
    queued_prefill_s: float
