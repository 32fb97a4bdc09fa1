"""Limits on the connections of callers."""

from collections.abc import Callable

import msgspec

from bronzeslip.settings import http

# Default keep-alive timeout of uvicorn.
_IDLE_TIMEOUT_S = 5.0


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits on one connection.

    Attributes:
        max_header_bytes: Maximum size of request line and headers, in bytes.
        header_timeout_s: Maximum wait for the headers, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
        may_reuse: Whether a connection accepts further requests.
        max_body_bytes: Maximum size of a body, which then counts as held by its
            connection, or None if the application bounds bodies.
    """

    max_header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    may_reuse: bool = True
    max_body_bytes: int | None = None


LimitsSource = Callable[[], ConnectionLimits]


def from_settings(
    settings: http.HttpSettings, max_body_bytes: int | None = None
) -> LimitsSource:
    """Returns a source of the constant limits given by the settings.

    Args:
        settings: Limits on headers.
        max_body_bytes: Maximum size of a body, or None.
    """
    limits = ConnectionLimits(
        settings.max_header_bytes,
        settings.header_timeout_s,
        _IDLE_TIMEOUT_S,
        max_body_bytes=max_body_bytes,
    )
    return lambda: limits
