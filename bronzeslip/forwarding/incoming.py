"""Requests as received from a caller."""

import msgspec

from bronzeslip import ids
from bronzeslip.forwarding import prompt


class HeaderField(msgspec.Struct, frozen=True):
    """Name and value of one header, as raw bytes."""

    name: bytes
    value: bytes


class IncomingRequest(msgspec.Struct, frozen=True):
    """A completely received request.

    Attributes:
        request_id: Id of this attempt by the caller.
        method: HTTP method.
        target: Path and query, as raw bytes.
        host: Requested host, in lower case and without a port.
        path: Decoded path.
        headers: Headers that are forwarded to the endpoint.
        body: Request body.
        key: API key of the caller's workspace, or None.
        arrived_s: Time at which the headers were received, on the event loop's
            clock, in seconds.
        caller_timeout_s: Timeout set by the caller, in seconds, or None.
        shape: Expected size of the requested generation, or None.
        last_event_id: Id of the last event that the caller has received, or
            None.
    """

    request_id: ids.RequestId
    method: str
    target: bytes
    host: str
    path: str
    headers: tuple[HeaderField, ...]
    body: bytes
    key: str | None
    arrived_s: float
    caller_timeout_s: float | None = None
    shape: prompt.PromptShape | None = None
    last_event_id: str | None = None
