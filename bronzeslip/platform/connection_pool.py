"""Connections to one endpoint that are used again."""

import asyncio
import socket
import ssl

import httpx
import msgspec

from bronzeslip.settings import entry

_MS_PER_S = 1000
# A dead peer is noticed by the third probe at the latest.
_PROBE_COUNT = 2


class PooledConnection(msgspec.Struct):
    """One connection, which carries one request at a time.

    Attributes:
        transport: Transport that owns the connection.
        expires_at_s: End of its idle time, on the loop's clock.
        has_carried_requests: Whether it has been used before.
    """

    transport: httpx.AsyncBaseTransport
    expires_at_s: float = 0.0
    has_carried_requests: bool = False


class ConnectionPool:
    """Hands out idle connections to an endpoint, the latest used first."""

    def __init__(self, settings: entry.EntrySettings) -> None:
        self._settings = settings
        # Requests go over plain TCP; a context that loads no certificates
        # saves their reading for each connection.
        self._ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._idle_connections: list[PooledConnection] = []

    async def acquire(self) -> PooledConnection:
        """Returns a connection that may be used, or a new one."""
        now_s = asyncio.get_running_loop().time()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.expires_at_s > now_s:
                return connection
            await connection.transport.aclose()
        return PooledConnection(self._create_transport())

    def release(
        self, connection: PooledConnection, keep_alive_s: float
    ) -> None:
        """Takes a connection back whose answer was read to its end.

        Args:
            connection: The connection.
            keep_alive_s: Time that the endpoint keeps it open idle, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        connection.has_carried_requests = True
        connection.expires_at_s = (
            now_s + keep_alive_s - self._settings.kept_margin_s
        )
        self._idle_connections.append(connection)

    async def close(self) -> None:
        """Closes the idle connections."""
        idle_connections, self._idle_connections = self._idle_connections, []
        for connection in idle_connections:
            await connection.transport.aclose()

    def _create_transport(self) -> httpx.AsyncHTTPTransport:
        silence_ms = round(self._settings.endpoint_silence_s * _MS_PER_S)
        return httpx.AsyncHTTPTransport(
            verify=self._ssl_context,
            trust_env=False,
            limits=httpx.Limits(max_connections=1),
            socket_options=(
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms),
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
                (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
                (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
                (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
            ),
        )
