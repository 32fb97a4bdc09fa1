"""HTTP server that leaves signals to the daemon."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import uvicorn

_MS_PER_S = 1000


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an ASGI application until told to stop."""

    def __init__(
        self,
        app: Any,
        address: str,
        port: int,
        stall_timeout_s: float | None = None,
    ) -> None:
        """Binds the port.

        Args:
            app: ASGI application.
            address: IP number to listen on.
            port: Port to listen on; 0 lets the system choose.
            stall_timeout_s: Time after which a connection whose other end
                takes no data is closed, in seconds, or None for never.
        """
        self._socket = socket.create_server((address, port), backlog=2048)
        if stall_timeout_s is not None:
            # Accepted sockets inherit the option; it covers closed windows.
            self._socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                round(stall_timeout_s * _MS_PER_S),
            )
        config = uvicorn.Config(
            app,
            http="httptools",
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
        """Port that the server listens on."""
        return self._socket.getsockname()[1]

    def start(self) -> None:
        """Starts to accept connections."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )

    async def stop(self) -> None:
        """Stops accepting and waits for the running requests to end."""
        self._server.should_exit = True
        await self._end()

    async def abort(self) -> None:
        """Stops at once, breaking off the running requests."""
        self._server.should_exit = True
        self._server.force_exit = True
        await self._end()

    async def _end(self) -> None:
        if self._task is not None:
            await asyncio.wait((self._task,))
        self._socket.close()
