"""Response that the stuttering endpoint stand-in has sent."""

import msgspec


class SentResponse(msgspec.Struct, frozen=True):
    """The response to one run or refusal of a request.

    Attributes:
        request_id: Id of the request.
        status: HTTP status.
        stamp: Stamp of the response, unique among all endpoints.
        body: Whole body, also where the response was cut short.
        has_run: Whether the request has run.
    """

    request_id: str
    status: int
    stamp: str
    body: bytes
    has_run: bool
