"""One call of a plain service, as the caller sent it."""

import msgspec

from bronzeslip.transport.frames import call as frames


class CallRequest(msgspec.Struct, frozen=True):
    """The HTTP request that the caller sent.

    Attributes:
        method: HTTP method.
        path: Path below the service, with its query.
        headers: Headers to pass on.
        body: Body to pass on.
    """

    method: str
    path: str
    headers: tuple[frames.Header, ...]
    body: bytes
