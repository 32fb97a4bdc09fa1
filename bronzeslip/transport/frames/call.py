"""Messages about calls of plain services."""

import msgspec

from bronzeslip import ids
from bronzeslip.transport.frames import reason


class Header(msgspec.Struct, frozen=True):
    """One HTTP header."""

    name: str
    value: str


class DispatchTicket(msgspec.Struct, frozen=True):
    """Leave to dispatch a call to one incarnation of a sidecar, for a time.

    Attributes:
        incarnation_id: Incarnation of the sidecar that issued the ticket.
        issued_s: When, on that incarnation's monotonic clock, in seconds.
    """

    incarnation_id: ids.IncarnationId
    issued_s: float


class PrepareCall(msgspec.Struct, frozen=True, tag="prepare-call"):
    """Asks a sidecar for a ticket to dispatch a call."""

    call_id: ids.CallId


class CallPrepared(msgspec.Struct, frozen=True, tag="call-prepared"):
    """Carries the ticket of a call."""

    call_id: ids.CallId
    ticket: DispatchTicket


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
        ticket: Ticket of a call that may not be run more than once.
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
    ticket: DispatchTicket | None = None


class CallFinished(msgspec.Struct, frozen=True, tag="call-finished"):
    """Carries the endpoint's answer to a call."""

    call_id: ids.CallId
    status: int
    headers: tuple[Header, ...]
    body: bytes


class CallRefused(msgspec.Struct, frozen=True, tag="call-refused"):
    """Tells that a call was not run and never will be."""

    call_id: ids.CallId
    reason: reason.RefusalReason
    retry_after_s: float


class CallOutcomeUnknown(msgspec.Struct, frozen=True, tag="call-unknown"):
    """Tells that a call may or may not have been run."""

    call_id: ids.CallId


class CallPending(msgspec.Struct, frozen=True, tag="call-pending"):
    """Tells that a call runs, waits or may still arrive."""

    call_id: ids.CallId


CallOutcome = CallFinished | CallRefused | CallOutcomeUnknown


class QueryCall(msgspec.Struct, frozen=True, tag="query-call"):
    """Asks a sidecar what has become of a call.

    Attributes:
        query_id: Drawn for this question.
        call_id: Call asked about.
        ticket: Ticket under which the call was, or would be, dispatched.
        settle: Whether the call must be settled: one that has not arrived
            is refused from now on, and one that runs is waited for.
    """

    query_id: ids.CallId
    call_id: ids.CallId
    ticket: DispatchTicket
    settle: bool


class CallReport(msgspec.Struct, frozen=True, tag="call-report"):
    """Answers a question about a call."""

    query_id: ids.CallId
    outcome: CallOutcome | CallPending
