"""Interface of a routing policy."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bronzeslip import ids
from bronzeslip.routing import candidate


class RoutingRequest(msgspec.Struct, frozen=True):
    """Properties of a request that routing policies may use.

    Attributes:
        workspace_id: Workspace of the caller.
        service_name: Name of the called service.
        prompt: Prompt of a generation; empty for other calls.
        region: Region of the gateway.
    """

    workspace_id: ids.WorkspaceId
    service_name: ids.ServiceName
    prompt: str
    region: ids.RegionName


class RoutingPolicy(Protocol):
    """Orders the candidate endpoints of a request."""

    def order(
        self,
        request: RoutingRequest,
        candidates: Sequence[candidate.Candidate],
    ) -> list[candidate.Candidate]:
        """Returns the candidates ordered by preference, best first."""

    def record_accepted(
        self, request: RoutingRequest, endpoint_id: ids.EndpointId
    ) -> None:
        """Records that an endpoint accepted a request."""
