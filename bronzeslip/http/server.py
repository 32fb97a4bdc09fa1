"""HTTP server that leaves signal handling to the daemon."""

import asyncio
from collections.abc import Iterator
import contextlib
import functools
import socket
from typing import Any

import uvicorn

from bronzeslip.http import connection_limits
from bronzeslip.http import connection_slots
from bronzeslip.http import limited_protocol
from bronzeslip.settings import http

_BACKLOG = 2048
_MS_PER_S = 1000


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an ASGI application until stopped."""

    def __init__(
        self,
        app: Any,
        settings: http.HttpSettings,
        limits_source: connection_limits.LimitsSource | None = None,
        slots: connection_slots.ConnectionSlots | None = None,
    ) -> None:
        """Creates a server.

        Args:
            app: ASGI application.
            settings: Address, limits and certificate.
            limits_source: Returns connection limits that may change while the
                server runs; defaults to the limits of the settings.
            slots: Bounds the number of connections; defaults to no bound.
        """
        self._address = (settings.listen_address, settings.http_port)
        self._stall_timeout_ms = round(
            settings.caller_stall_timeout_s * _MS_PER_S
        )
        self._socket: socket.socket | None = None
        config = uvicorn.Config(
            app,
            http=functools.partial(
                limited_protocol.LimitedHttpProtocol,
                limits_source or connection_limits.from_settings(settings),
                slots or connection_slots.ConnectionSlots(),
            ),
            ssl_certfile=settings.http_certificate_file,
            ssl_keyfile=settings.http_private_key_file,
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
        )
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """Port that the started server listens on."""
        return self._socket.getsockname()[1]

    def start(self) -> None:
        """Binds the port and starts accepting connections."""
        self._socket = socket.create_server(self._address, backlog=_BACKLOG)
        # Accepted sockets inherit these options. asyncio itself sets
        # TCP_NODELAY only on sockets created with an explicit protocol number.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Also applies when the peer keeps its receive window closed, not only
        # to missing acknowledgements.
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._stall_timeout_ms
        )
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )

    async def stop(self) -> None:
        """Stops accepting connections and waits for running requests."""
        self._server.should_exit = True
        await self._wait_closed()

    async def abort(self) -> None:
        """Stops immediately and aborts running requests."""
        self._server.should_exit = True
        self._server.force_exit = True
        await self._wait_closed()

    async def _wait_closed(self) -> None:
        if self._task is not None:
            await asyncio.wait((self._task,))
        if self._socket is not None:
            self._socket.close()
