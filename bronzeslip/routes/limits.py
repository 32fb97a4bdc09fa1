"""Limits on what a caller may send."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on size and time of requests and connections.

    Attributes:
        max_header_bytes: Largest request line and headers, in bytes.
        max_body_bytes: Largest body, in bytes.
        header_timeout_s: Longest wait for the headers, in seconds.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
