"""Requests as they are sent to an endpoint."""

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import incoming


class ResumeSource(msgspec.Struct, frozen=True):
    """Copy of a run's memory from which the run resumes.

    Attributes:
        address: Host and port of the engine that issued the handle.
        handle: Handle of the copy at that engine.
    """

    address: str
    handle: ids.HandleId


class Dispatch(msgspec.Struct, frozen=True):
    """A request with the metadata sent to an endpoint.

    Attributes:
        request: Request of the caller.
        endpoint: Endpoint that receives the request.
        remaining_s: Time left until the deadline, in seconds.
        workspace_id: Workspace of the caller, or None on public routes.
        priority: Scheduling priority at the engine, 0 first, or None for
            plain services.
        source: Copy from which the run resumes, or None.
        after_event_id: Id of the last event that the caller has received from
            another endpoint, or None.
    """

    request: incoming.IncomingRequest
    endpoint: endpoint.Endpoint
    remaining_s: float
    workspace_id: ids.WorkspaceId | None = None
    priority: int | None = None
    source: ResumeSource | None = None
    after_event_id: str | None = None
