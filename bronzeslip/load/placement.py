"""Placement of a generation at an engine."""

import msgspec

from bronzeslip import ids


class Placement(msgspec.Struct, frozen=True):
    """One generation that some gateway sends to an engine.

    Attributes:
        request_id: Id of the request.
        endpoint_id: Engine that it is sent to.
        prompt_tokens: Length of its prompt, in tokens.
        expected_tokens: Expected memory use at its end, in tokens.
        is_long: Whether it may outlive its engine.
        placed_s: Time of the decision on the event loop's clock, in seconds.
    """

    request_id: ids.RequestId
    endpoint_id: ids.EndpointId
    prompt_tokens: int
    expected_tokens: int
    is_long: bool
    placed_s: float
