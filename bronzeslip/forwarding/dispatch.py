"""One sending of a request to an endpoint."""

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import incoming


class RunSource(msgspec.Struct, frozen=True):
    """Copy of a run's memory that a run goes on from.

    Attributes:
        address: Host and port of the engine that names the copy.
        handle: Name of the copy there.
        after_event_id: Last event that the caller has got.
    """

    address: str
    handle: ids.HandleId
    after_event_id: str


class Dispatch(msgspec.Struct, frozen=True):
    """What is sent to an endpoint.

    Attributes:
        request: The request.
        endpoint: The endpoint.
        remaining_s: Time left for an answer, in seconds.
        workspace_id: Workspace of the caller, or None on public routes.
        priority: Rank at the engine, 0 first, or None for plain services.
        backup: Engine that the run's memory is copied to, or None.
        source: Copy that the run goes on from, or None.
    """

    request: incoming.IncomingRequest
    endpoint: endpoint.Endpoint
    remaining_s: float
    workspace_id: ids.WorkspaceId | None = None
    priority: int | None = None
    backup: endpoint.Endpoint | None = None
    source: RunSource | None = None
