"""Limits on caller requests and connections."""

import msgspec


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and time limits for requests and connections.

    Attributes:
        max_header_bytes: Maximum size of request line and headers, in bytes.
        max_body_bytes: Maximum size of the body, in bytes.
        header_timeout_s: Maximum wait for the headers, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
