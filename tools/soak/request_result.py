"""What a caller has got for a request."""

import msgspec

from tools.soak import request_kind


class RequestResult(msgspec.Struct, frozen=True):
    """Answer to one request.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request.
        status: Status, or None if the connection ended before it.
        body: Bytes of the body that came.
        is_complete: Whether the answer came to its end.
        ended_at_s: When it ended, in seconds from the start of the trial.
    """

    request_id: str
    kind: request_kind.RequestKind
    status: int | None
    body: bytes
    is_complete: bool
    ended_at_s: float = 0.0
