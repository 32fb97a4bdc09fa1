"""Daemon that runs a gateway on an entry VM."""

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
from bronzeslip.entry import readiness
from bronzeslip.entry import vm_config
from bronzeslip.http import connection_limits
from bronzeslip.http import connection_slots
from bronzeslip.http import health
from bronzeslip.http import internal_app
from bronzeslip.http import server
from bronzeslip.http import shutdown
from bronzeslip.metrics import entry_metrics
from bronzeslip.metrics import page
from bronzeslip.routes import current
from bronzeslip.routes import limits
from bronzeslip.settings import entry
from bronzeslip.settings import http

logger = logs.get_logger(__name__)

# Used until the first configuration is received.
_DEFAULT_LIMITS = limits.CallerLimits()
# Messages between gateways are of a few kilobytes. Decoded, a body takes up to
# thirty times its size.
_MAX_INTERNAL_BODY_BYTES = 64 * 1024


class EntryDaemon:
    """Serves callers until a shutdown is requested, then drains."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        this_vm: vm_config.VmConfig,
        app: Any,
        peer_handlers: Sequence[handlers.BaseRouteHandler],
        current_table: current.CurrentTable,
        readiness_state: readiness.Readiness,
        metrics: entry_metrics.EntryMetrics,
        tasks: Sequence[named_task.NamedTask],
        reload: Callable[[], None],
        begin_drain: Callable[[], float],
        deregister: Callable[[], Awaitable[None]],
        slots: connection_slots.ConnectionSlots | None = None,
        internal_slots: connection_slots.ConnectionSlots | None = None,
    ) -> None:
        """Creates a daemon.

        Args:
            settings: Settings of the gateway.
            this_vm: Configuration of this VM.
            app: ASGI application that serves callers.
            peer_handlers: Handle the requests of other gateways.
            current_table: Current route table.
            readiness_state: Readiness reported to the load balancer.
            metrics: Metrics to expose.
            tasks: Background tasks that run until shutdown.
            reload: Reloads the settings file; called on SIGHUP.
            begin_drain: Called when a shutdown is requested; returns the time
                after which open connections are aborted, in seconds.
            deregister: Removes this gateway from the gateway registry.
            slots: Bounds the connections of callers; defaults to no bound.
            internal_slots: Bounds all other connections; defaults to no bound.
        """
        self._settings = settings
        self._this_vm = this_vm
        self._current_table = current_table
        self._readiness = readiness_state
        self._named_tasks = tasks
        self._reload = reload
        self._begin_drain = begin_drain
        self._max_drain_s = this_vm.bounds.grace_s
        self._deregister = deregister
        self._signals = shutdown.ShutdownSignals()
        self._background_tasks = background.BackgroundTasks()
        self._caller_server = server.HttpServer(
            app,
            _create_http_settings(this_vm.caller_address),
            self._connection_limits,
            slots,
        )
        self._readiness_server = _create_internal_server(
            self._create_readiness_app(),
            this_vm.readiness_address,
            internal_slots,
        )
        self._peer_server = _create_internal_server(
            internal_app.create(*peer_handlers),
            this_vm.peer_address,
            internal_slots,
        )
        self._metrics_server = _create_internal_server(
            internal_app.create(page.create_handler(metrics)),
            vm_config.SocketAddress(
                this_vm.caller_address.host, settings.metrics_port
            ),
            internal_slots,
        )

    async def run(self) -> None:
        """Serves until a shutdown is requested, then drains."""
        self._signals.install()
        self._signals.on_reload(self._reload)
        self._caller_server.start()
        self._readiness_server.start()
        self._peer_server.start()
        if self._settings.metrics_port:
            self._metrics_server.start()
        for task in self._named_tasks:
            self._background_tasks.start(task.name, task.run)
        logger.info("entry.listening", vm=self._this_vm.vm_id)
        await self._signals.requested.wait()
        await shutdown.run_step("notice", self._announce_drain())
        await shutdown.run_step("drain", self._drain())
        await shutdown.run_step("deregistration", self._deregister())
        await shutdown.run_step("tasks", self._background_tasks.stop())
        await asyncio.gather(
            shutdown.run_step("callers", self._caller_server.abort()),
            shutdown.run_step("peers", self._peer_server.abort()),
            shutdown.run_step("readiness", self._readiness_server.abort()),
            shutdown.run_step("metrics", self._metrics_server.abort()),
        )

    async def _announce_drain(self) -> None:
        """Fails readiness checks."""
        logger.info("entry.draining")
        self._readiness.drain()
        self._max_drain_s = self._begin_drain()

    async def _drain(self) -> None:
        """Waits for running requests to finish, but not for stalled clients."""
        completed = False
        try:
            async with asyncio.timeout(self._max_drain_s):
                completed = await self._signals.run_unless_forced(
                    self._stop_callers()
                )
        except TimeoutError:
            logger.warning("entry.drain_timeout", after_s=self._max_drain_s)
        if not completed:
            await self._caller_server.abort()
        logger.info("entry.drained", hurried=not completed)

    async def _stop_callers(self) -> None:
        await asyncio.sleep(self._settings.drain_notice_s)
        await self._caller_server.stop()

    def _connection_limits(self) -> connection_limits.ConnectionLimits:
        table = self._current_table.table
        caller_limits = _DEFAULT_LIMITS if table is None else table.limits
        return connection_limits.ConnectionLimits(
            caller_limits.max_header_bytes,
            caller_limits.header_timeout_s,
            caller_limits.idle_timeout_s,
            may_reuse=not self._signals.requested.is_set(),
        )

    def _create_readiness_app(self) -> litestar.Litestar:
        return internal_app.create(
            *health.handlers(
                lambda: (
                    self._caller_server.is_listening
                    and self._readiness.is_ready
                ),
                ready_path="/ready",
            )
        )


def _create_internal_server(
    app: litestar.Litestar,
    address: vm_config.SocketAddress,
    slots: connection_slots.ConnectionSlots | None,
) -> server.HttpServer:
    http_settings = _create_http_settings(address)
    return server.HttpServer(
        app,
        http_settings,
        connection_limits.from_settings(
            http_settings, _MAX_INTERNAL_BODY_BYTES
        ),
        slots,
    )


def _create_http_settings(
    address: vm_config.SocketAddress,
) -> http.HttpSettings:
    return http.HttpSettings(
        listen_address=address.host, http_port=address.port
    )
