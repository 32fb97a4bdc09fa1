"""Request for a call of a plain service."""

import msgspec

from bronzeslip.transport.frames import call as frames


class CallRequest(msgspec.Struct, frozen=True):
    """HTTP request to forward to a plain service.

    Attributes:
        method: HTTP method.
        path: Path and query relative to the service.
        headers: Headers to forward.
        body: Body to forward.
    """

    method: str
    path: str
    headers: tuple[frames.Header, ...]
    body: bytes
