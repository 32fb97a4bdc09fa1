"""Pool of the connections to one endpoint."""

import asyncio
import socket

import httpx
import msgspec

from bronzeslip import ids
from bronzeslip.http import bounded_transport
from bronzeslip.http import silence_detection
from bronzeslip.platform import recent_request_ids
from bronzeslip.settings import entry


class PooledConnection(msgspec.Struct):
    """A connection, which carries one request at a time.

    Attributes:
        transport: Transport that owns the connection.
        expires_at_s: Time after which the connection must not be reused, on
            the event loop's clock.
        recent_ids: Requests that it has carried last. A faulty endpoint may
            send a response once more, in place of the next one.
    """

    transport: httpx.AsyncBaseTransport
    expires_at_s: float = 0.0
    recent_ids: recent_request_ids.RecentRequestIds = msgspec.field(
        default_factory=recent_request_ids.RecentRequestIds
    )


class ConnectionPool:
    """Pools the connections to an endpoint, most recently used first."""

    def __init__(
        self, settings: entry.EntrySettings, keeps_connections: bool = True
    ) -> None:
        """Creates an empty pool.

        Args:
            settings: Timeouts and size limits.
            keeps_connections: Whether a connection may carry more than one
                request.
        """
        self._settings = settings
        self._is_closed = not keeps_connections
        self._idle_connections: list[PooledConnection] = []

    async def acquire(
        self, request_id: ids.RequestId | None = None
    ) -> PooledConnection:
        """Returns an idle connection that has not expired, or a new one.

        Args:
            request_id: Request to send, or None for other calls. It is not
                sent again on a connection that has carried it.
        """
        await self._close_expired()
        connection = self._take_idle(request_id)
        if connection is None:
            connection = PooledConnection(self._create_transport())
        if request_id is not None:
            connection.recent_ids.add(request_id)
        return connection

    def _take_idle(
        self, request_id: ids.RequestId | None
    ) -> PooledConnection | None:
        for connection in reversed(self._idle_connections):
            if request_id not in connection.recent_ids:
                self._idle_connections.remove(connection)
                return connection
        return None

    async def _close_expired(self) -> None:
        now_s = asyncio.get_running_loop().time()
        expired = [
            connection
            for connection in self._idle_connections
            if connection.expires_at_s <= now_s
        ]
        for connection in expired:
            self._idle_connections.remove(connection)
        for connection in expired:
            await connection.transport.aclose()

    async def release(
        self, connection: PooledConnection, keep_alive_s: float
    ) -> None:
        """Returns a connection whose response was read completely.

        A pool that was closed meanwhile closes the connection.

        Args:
            connection: The connection.
            keep_alive_s: Time after which the endpoint closes the connection
                if it is idle, in seconds.
        """
        if self._is_closed:
            await connection.transport.aclose()
            return
        now_s = asyncio.get_running_loop().time()
        connection.expires_at_s = (
            now_s + keep_alive_s - self._settings.kept_margin_s
        )
        self._idle_connections.append(connection)

    async def close(self) -> None:
        """Closes the idle connections, and the others once released."""
        self._is_closed = True
        idle_connections, self._idle_connections = self._idle_connections, []
        for connection in idle_connections:
            await connection.transport.aclose()

    def _create_transport(self) -> bounded_transport.BoundedTransport:
        return bounded_transport.BoundedTransport(
            self._settings.response_head_max_bytes,
            max_connections=1,
            socket_options=(
                *silence_detection.socket_options(
                    self._settings.endpoint_silence_s
                ),
                (
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self._settings.endpoint_receive_buffer_bytes,
                ),
            ),
        )
