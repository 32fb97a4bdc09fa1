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
    """

    max_header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    may_reuse: bool = True


LimitsSource = Callable[[], ConnectionLimits]


def from_settings(settings: http.HttpSettings) -> LimitsSource:
    """Returns a source of the constant limits given by the settings."""
    limits = ConnectionLimits(
        settings.max_header_bytes, settings.header_timeout_s, _IDLE_TIMEOUT_S
    )
    return lambda: limits
