"""Bounds of the connections of callers."""

from collections.abc import Callable

import msgspec

from bronzeslip.settings import http

# Idle time that uvicorn gives a connection by default.
_IDLE_TIMEOUT_S = 5.0


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Bounds of one connection.

    Attributes:
        max_header_bytes: Largest request line and headers, in bytes.
        header_timeout_s: Longest wait for the headers, in seconds.
        idle_timeout_s: Time after which an idle connection is closed.
        may_reuse: Whether a connection takes a further request.
    """

    max_header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    may_reuse: bool = True


LimitsSource = Callable[[], ConnectionLimits]


def from_settings(settings: http.HttpSettings) -> LimitsSource:
    """Returns the bounds that the settings fix."""
    limits = ConnectionLimits(
        settings.max_header_bytes, settings.header_timeout_s, _IDLE_TIMEOUT_S
    )
    return lambda: limits
