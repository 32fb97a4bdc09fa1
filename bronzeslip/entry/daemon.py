"""A gateway on an entry VM as one object."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import litestar
from litestar import handlers

from bronzeslip import background
from bronzeslip import logs
from bronzeslip.entry import named_task
from bronzeslip.entry import place
from bronzeslip.entry import readiness
from bronzeslip.http import connection_bounds
from bronzeslip.http import health
from bronzeslip.http import server
from bronzeslip.http import shutdown
from bronzeslip.metrics import entry_metrics
from bronzeslip.metrics import page
from bronzeslip.routes import current
from bronzeslip.routes import limits
from bronzeslip.settings import entry
from bronzeslip.settings import http

logger = logs.get_logger(__name__)

_LIMITS_BEFORE_CONFIGURATION = limits.CallerLimits()


class EntryDaemon:
    """Serves callers until told to shut down, then drains."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        here: place.VmPlace,
        app: Any,
        in_force: current.CurrentTable,
        ready: readiness.Readiness,
        metrics: entry_metrics.EntryMetrics,
        tasks: Sequence[named_task.NamedTask],
        reload: Callable[[], None],
        withdraw: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates a daemon.

        Args:
            settings: Settings.
            here: Place of this process.
            app: ASGI application that serves callers.
            in_force: Configuration in force.
            ready: Whether callers are welcome.
            metrics: Metrics to show.
            tasks: Work that runs beside.
            reload: Reads the settings again.
            withdraw: Takes this gateway off the records of all.
        """
        self._settings = settings
        self._here = here
        self._current = in_force
        self._readiness = ready
        self._named_tasks = tasks
        self._reload = reload
        self._withdraw = withdraw
        self._signals = shutdown.ShutdownSignals()
        self._tasks = background.BackgroundTasks(self._signals.request)
        self._callers = server.HttpServer(
            app, _http_settings(here.callers), self._bounds
        )
        self._balancer = server.HttpServer(
            self._readiness_app(), _http_settings(here.readiness)
        )
        self._metrics = server.HttpServer(
            _app(page.create_handler(metrics)),
            _http_settings(
                place.SocketAddress(here.callers.host, settings.metrics_port)
            ),
        )

    async def run(self) -> None:
        """Serves until told to shut down, then drains."""
        self._signals.install()
        self._signals.on_reload(self._reload)
        self._callers.start()
        self._balancer.start()
        if self._settings.metrics_port:
            self._metrics.start()
        for task in self._named_tasks:
            self._tasks.start(task.name, task.work)
        logger.info("entry.listening", vm=self._here.vm_id)
        await self._signals.requested.wait()
        await self._drain()
        await self._withdraw()
        await self._tasks.stop()
        await self._balancer.abort()
        await self._metrics.abort()

    async def _drain(self) -> None:
        """Fails readiness, then lets the running requests end."""
        self._readiness.drain()
        logger.info("entry.draining")
        ended = await self._signals.unless_hurried(self._stop_callers())
        if not ended:
            await self._callers.abort()
        logger.info("entry.drained", hurried=not ended)

    async def _stop_callers(self) -> None:
        await asyncio.sleep(self._settings.drain_notice_s)
        await self._callers.stop()

    def _bounds(self) -> connection_bounds.ConnectionBounds:
        table = self._current.table
        known = _LIMITS_BEFORE_CONFIGURATION if table is None else table.limits
        return connection_bounds.ConnectionBounds(
            known.max_header_bytes,
            known.header_timeout_s,
            known.idle_timeout_s,
            may_reuse=not self._signals.requested.is_set(),
        )

    def _readiness_app(self) -> litestar.Litestar:
        return _app(
            *health.handlers(
                lambda: self._readiness.is_ready, ready_path="/ready"
            )
        )


def _app(*route_handlers: handlers.BaseRouteHandler) -> litestar.Litestar:
    return litestar.Litestar(
        route_handlers=route_handlers,
        openapi_config=None,
        logging_config=None,
    )


def _http_settings(address: place.SocketAddress) -> http.HttpSettings:
    return http.HttpSettings(
        listen_address=address.host, http_port=address.port
    )
