"""Interface of a routing policy."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bronzeslip import ids
from bronzeslip.routing import candidate


class RoutingRequest(msgspec.Struct, frozen=True):
    """What a policy may know of a request.

    Attributes:
        workspace_id: Workspace of the caller.
        service_name: Service called.
        prompt: Prompt, empty for a plain call.
        region: Region of the gateway.
    """

    workspace_id: ids.WorkspaceId
    service_name: ids.ServiceName
    prompt: str
    region: ids.RegionName


class RoutingPolicy(Protocol):
    """Orders the endpoints that a request may go to."""

    def order(
        self,
        request: RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates, the best first."""

    def record_sent(
        self, request: RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Notes that an endpoint took a request."""
