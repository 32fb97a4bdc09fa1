"""HTTP transport that limits how many bytes precede a response body."""

import asyncio
from collections.abc import Iterable
import contextvars
import functools
import ssl
from typing import Any

import httpcore
import httpx

from bronzeslip.http import checked_connection_pool
from bronzeslip.http import connection_use

# Idle connections are closed after this time, whatever the server allows: what
# lies between may have dropped them without notice.
IDLE_TIMEOUT_S = 5.0
# Turns of the event loop in which a connection may still be opened after its
# timeout. It takes five; the others are in reserve.
_TURNS_AFTER_TIMEOUT = 10


@functools.cache
def _unused_ssl_context() -> ssl.SSLContext:
    """Returns the context of the base class, which is not used.

    The HTTP client would create one with the CA certificates for each.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class _HeadLimit:
    """Counts the bytes read while a response head is awaited.

    Attributes:
        has_read: Whether the connection has been read from.
    """

    def __init__(self, max_bytes: int) -> None:
        self._remaining_bytes = max_bytes
        self.has_read = False

    def count(self, size_bytes: int) -> None:
        """Counts bytes.

        Raises:
            httpcore.RemoteProtocolError: If the limit was exceeded before.
        """
        self.has_read = True
        if self._remaining_bytes < 0:
            raise httpcore.RemoteProtocolError("response head is too large")
        self._remaining_bytes -= size_bytes


_head_limit: contextvars.ContextVar[_HeadLimit | None] = contextvars.ContextVar(
    "head_limit", default=None
)


class _CountingStream(httpcore.AsyncNetworkStream):
    """Network stream that counts the bytes of response heads.

    Attributes:
        use: Number of the connection and of its responses.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.use = connection_use.ConnectionUse()
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        limit = _head_limit.get()
        if limit is not None:
            limit.count(len(data))
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _CountingStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class _CountingBackend(httpcore.AnyIOBackend):
    """Network backend whose TCP streams count the bytes of response heads.

    A connection that the peer has accepted is open after a few turns of the
    event loop. While these are long, the timeout would expire first, and the
    peer be taken for unreachable: of 100 calls at once, some got 503.
    """

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        connecting = asyncio.create_task(
            super().connect_tcp(host, port, None, local_address, socket_options)
        )
        try:
            await asyncio.wait((connecting,), timeout=timeout)
            for _ in range(_TURNS_AFTER_TIMEOUT):
                if connecting.done():
                    break
                await asyncio.sleep(0)
            else:
                raise httpcore.ConnectTimeout
        finally:
            connecting.cancel()
        return _CountingStream(connecting.result())


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport that gives up a response whose head does not end.

    The HTTP library limits the size of each head, but not the number of
    interim responses that precede the final one.

    Which response on a connection is the one to a request is decided by
    `checked_connection.CheckedConnection`.
    """

    def __init__(
        self,
        max_head_bytes: int,
        max_connections: int | None,
        socket_options: Iterable[Any] = (),
        max_idle_connections: int | None = None,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a transport.

        Args:
            max_head_bytes: Limit on the bytes read before the final response
                head is complete.
            max_connections: Limit on concurrent connections, or None.
            socket_options: Options of the sockets.
            max_idle_connections: Limit on idle connections; by default, that on
                concurrent ones. With 0, each request uses a new connection.
            idle_timeout_s: Time after which an idle connection is closed.
            ssl_context: TLS settings for https, or None for plain TCP only.
        """
        super().__init__(verify=_unused_ssl_context(), trust_env=False)
        self._pool = checked_connection_pool.CheckedConnectionPool(
            ssl_context=ssl_context,
            max_connections=max_connections,
            max_keepalive_connections=max_idle_connections,
            keepalive_expiry=idle_timeout_s,
            socket_options=tuple(socket_options),
            network_backend=_CountingBackend(),
        )
        self._max_head_bytes = max_head_bytes

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and returns the response, with its body unread.

        Raises:
            httpx.RemoteProtocolError: If more than the maximum number of bytes
                arrived before the final head was complete, the response had
                been received before the request was sent, or its head is
                made up of two responses.
        """
        limit = _HeadLimit(self._max_head_bytes)
        token = _head_limit.set(limit)
        try:
            response = await super().handle_async_request(request)
        finally:
            _head_limit.reset(token)
        if not limit.has_read:
            await response.aclose()
            raise httpx.RemoteProtocolError(
                "the response was received before its request was sent"
            )
        return response


def connection_use_of(
    response: httpx.Response,
) -> connection_use.ConnectionUse:
    """Returns the use of the connection that a response is received on.

    Args:
        response: Response of a `BoundedTransport`.
    """
    return response.extensions["network_stream"].use
