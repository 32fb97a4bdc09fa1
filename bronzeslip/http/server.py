"""HTTP server that leaves signal handling to the daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import socket
from typing import Any

import uvicorn

from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.http import connection_limits
from bronzeslip.http import connection_slots
from bronzeslip.http import dated_app
from bronzeslip.http import isolated_app
from bronzeslip.http import limited_protocol
from bronzeslip.http import listener
from bronzeslip.http import read_pacer
from bronzeslip.settings import http

logger = logs.get_logger(__name__)

_RETRY_DELAY_S = 0.5


class _Server(uvicorn.Server):
    """Server that goes on after an unexpected exception."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        """Runs periodic work until the server is stopped.

        Connections are accepted and served outside of this loop.
        """
        await self._retry(super().main_loop)

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept connections."""
        await self._retry(functools.partial(super().startup, sockets))

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        """Runs a step, again after a failure unless the server is stopped."""
        while True:
            try:
                await step()
            except Exception as error:
                logger.error("http.server_failed", reason=logs.describe(error))
            else:
                return
            if self.should_exit:
                return
            await asyncio.sleep(_RETRY_DELAY_S)


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
        self._listener = listener.Listener(settings)
        config = uvicorn.Config(
            isolated_app.IsolatedApp(dated_app.DatedApp(app)),
            http=functools.partial(
                limited_protocol.LimitedHttpProtocol,
                limits_source or connection_limits.from_settings(settings),
                slots or connection_slots.ConnectionSlots(),
                read_pacer.ReadPacer(),
            ),
            ssl_certfile=settings.http_certificate_file,
            ssl_keyfile=settings.http_private_key_file,
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
        )
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """Port that the started server listens on, or will listen on."""
        return self._listener.port

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect."""
        return self._listener.is_open

    def start(self) -> None:
        """Listens and accepts connections, later if the port is taken."""
        self._listener.try_open()
        self._task = task_set.start("http server", self._serve())

    async def _serve(self) -> None:
        await self._server.serve(sockets=[await self._listener.wait_open()])

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
            if not self.is_listening:
                self._task.cancel()
            await asyncio.wait((self._task,))
        self._listener.close()
