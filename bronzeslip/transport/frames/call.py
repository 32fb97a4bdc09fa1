"""Messages about calls of plain services."""

import msgspec

from bronzeslip import ids
from bronzeslip.transport.frames import reason


class Header(msgspec.Struct, frozen=True):
    """One HTTP header."""

    name: str
    value: str


class StartCall(msgspec.Struct, frozen=True, tag="call"):
    """Asks a sidecar to run a call on its plain endpoint.

    Attributes:
        call_id: Drawn by the gateway for this attempt.
        request_id: Request that the attempt serves.
        workspace_id: Workspace that the caller belongs to.
        service_name: Service called.
        method: HTTP method.
        path: Path below the endpoint's base URL, with its query.
        headers: Headers passed on.
        body: Body passed on.
        idempotent: Whether the call may be run more than once.
        expires_in_s: Time after which it must not start, in seconds.
    """

    call_id: ids.CallId
    request_id: ids.RequestId
    workspace_id: ids.WorkspaceId
    service_name: ids.ServiceName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent: bool
    expires_in_s: float


class CallFinished(msgspec.Struct, frozen=True, tag="call-finished"):
    """Carries the endpoint's answer to a call."""

    call_id: ids.CallId
    status: int
    headers: tuple[Header, ...]
    body: bytes


class CallRefused(msgspec.Struct, frozen=True, tag="call-refused"):
    """Tells that a call was not run."""

    call_id: ids.CallId
    reason: reason.RefusalReason
    retry_after_s: float


class CallOutcomeUnknown(msgspec.Struct, frozen=True, tag="call-unknown"):
    """Tells that a call may or may not have been run."""

    call_id: ids.CallId
