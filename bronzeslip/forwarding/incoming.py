"""A request as a caller has sent it."""

import msgspec

from bronzeslip import ids
from bronzeslip.forwarding import prompt


class HeaderField(msgspec.Struct, frozen=True):
    """One header, byte for byte."""

    name: bytes
    value: bytes


class IncomingRequest(msgspec.Struct, frozen=True):
    """A request that has been read whole.

    Attributes:
        request_id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path and query, byte for byte.
        host: Host asked for, in lower case and without a port.
        path: Decoded path.
        headers: Headers that are passed on.
        body: Body.
        key: Key of the caller's workspace, or None.
        arrived_s: When its headers had come, on the loop's clock.
        caller_timeout_s: Time that the caller waits, in seconds, or None.
        shape: What is known of the generation asked for, or None.
        last_event_id: Last event that the caller has, or None.
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
