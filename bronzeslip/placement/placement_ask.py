"""Generation for which a gateway requests a placement."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields


class PlacementAsk(msgspec.Struct, frozen=True, kw_only=True):
    """A generation that a gateway asks the coordinator to place.

    Attributes:
        service: Name of the requested service.
        shard_index: Index of the shard of the service's endpoints.
        shard_count: Number of shards of the service.
        request_id: Id of the request.
        prompt_tokens: Length of the prompt, in tokens.
        expected_tokens: Memory that it is expected to take, in tokens.
        output_tokens: Estimated length of the output, in tokens.
        is_long: Whether it may outlive its endpoint.
        priority: Priority of its route; 0 is the highest.
        workspace: Workspace of the client, or None on public routes.
        remaining_s: Time to its deadline, in seconds.
        objective_left_s: Time to the objective for its first event, in
            seconds; negative if the objective is missed.
        waited_s: Time since its arrival at the gateway, in seconds.
        was_sent: Whether it was sent to an endpoint before, so that its client
            may have received a part of the response.
        failure_domain: Failure domain of the asking gateway.
        permitted_regions: Regions that it may run in, or None for all.
        excluded: Endpoints that must not be selected.
    """

    service: ids.ServiceName
    shard_index: fields.Count
    shard_count: fields.PositiveCount
    request_id: ids.RequestId
    prompt_tokens: fields.Count
    expected_tokens: fields.Count
    output_tokens: fields.Count
    is_long: bool
    priority: fields.Integer
    workspace: ids.WorkspaceId | None
    remaining_s: fields.Quantity
    objective_left_s: fields.Quantity
    waited_s: fields.NonNegativeQuantity = 0.0
    was_sent: bool = False
    failure_domain: ids.FailureDomainName = ids.FailureDomainName("")
    permitted_regions: frozenset[ids.RegionName] | None = None
    excluded: frozenset[ids.EndpointId] = frozenset()
