"""Result of one request of a caller."""

import time

import httpx
import msgspec

from tools.soak import request_kind

STAMP_HEADER = "Bronzeslip-Response-Stamp"


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
        allowed_region: Region that its route allows, empty for any.
        stamp: Stamp of the endpoint's response, or empty.
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
    allowed_region: str = ""
    stamp: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return self.status is not None and httpx.codes.is_success(self.status)


class SentRequest(msgspec.Struct, frozen=True):
    """A request that was sent whole and whose response is read whole.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request.
        gateway: VM id of the gateway that it was sent to.
        sent_s: When it was sent on the monotonic clock, in seconds.
        poison_part: Part of its prompt that crashes engines, or empty.
    """

    request_id: str
    kind: request_kind.RequestKind
    gateway: str
    sent_s: float
    poison_part: str = ""

    def ended(self, response: httpx.Response | None) -> RequestResult:
        """Returns the result, with the response or None if it was lost."""
        return RequestResult(
            self.request_id,
            self.kind,
            None if response is None else response.status_code,
            b"" if response is None else response.content,
            response is not None,
            gateway=self.gateway,
            sent_s=self.sent_s,
            ended_s=time.monotonic(),
            poison_part=self.poison_part,
            stamp=""
            if response is None
            else response.headers.get(STAMP_HEADER, ""),
        )
