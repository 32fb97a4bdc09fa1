"""Result of one request of a caller."""

import msgspec

from tools.soak import request_kind


class RequestResult(msgspec.Struct, frozen=True):
    """Response to one request, as received by the caller.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request.
        status: HTTP status, or None if the connection ended before it came.
        body: Part of the body that was received.
        is_complete: Whether the end of the response was received.
        ended_at_s: When it ended, in seconds from the start of the trial.
        gateway: VM id of the gateway that it was sent to.
        sent_s: When it was sent on the monotonic clock, in seconds.
        ended_s: When it ended on the monotonic clock, in seconds.
        poison_part: Part of its prompt that crashes engines, or empty.
    """

    request_id: str
    kind: request_kind.RequestKind
    status: int | None
    body: bytes
    is_complete: bool
    ended_at_s: float = 0.0
    gateway: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0
    poison_part: str = ""
