"""HTTP transports for the servers that settings name by a URL."""

import functools
import ssl

import httpx

from bronzeslip.http import bounded_transport

_MAX_HEAD_BYTES = 128 * 1024


@functools.cache
def _ssl_context() -> ssl.SSLContext:
    return httpx.create_ssl_context()


def create(
    max_connections: int | None = None,
    max_idle_connections: int | None = None,
    idle_timeout_s: float = bounded_transport.IDLE_TIMEOUT_S,
) -> bounded_transport.BoundedTransport:
    """Creates a transport for http and https URLs.

    Args:
        max_connections: Limit on concurrent connections, or None.
        max_idle_connections: Limit on idle connections; by default, that on
            concurrent ones. With 0, each request uses a new connection.
        idle_timeout_s: Time after which an idle connection is closed.
    """
    return bounded_transport.BoundedTransport(
        _MAX_HEAD_BYTES,
        max_connections,
        max_idle_connections=max_idle_connections,
        idle_timeout_s=idle_timeout_s,
        ssl_context=_ssl_context(),
    )
