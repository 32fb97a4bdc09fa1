"""Gateway process."""

import asyncio

from bronzeslip import background
from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.claims import sweeper
from bronzeslip.gateway import app
from bronzeslip.gateway import memory_app
from bronzeslip.gateway import state_factory
from bronzeslip.http import connection_slots
from bronzeslip.http import server as http_server
from bronzeslip.http import shutdown
from bronzeslip.membership import member
from bronzeslip.membership import registrar
from bronzeslip.membership import vm_sweeper
from bronzeslip.memory import budget as memory_budget
from bronzeslip.memory import guard
from bronzeslip.metrics import gateway_metrics
from bronzeslip.routing import suspect_list
from bronzeslip.settings import gateway
from bronzeslip.spread import service
from bronzeslip.store import client as platform_client
from bronzeslip.transport import server as transport_server
from bronzeslip.transport import tls

logger = logs.get_logger(__name__)


class GatewayDaemon:
    """Serves callers and operators on one entry VM."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._settings = settings
        self._signals = shutdown.ShutdownSignals()
        self._tasks = background.BackgroundTasks()
        metrics = gateway_metrics.GatewayMetrics()
        self._platform = platform_client.PlatformClient(
            settings.platform_url,
            settings.platform_timeout_s,
            on_call=metrics.count_platform_call,
        )
        self._replication = service.ReplicationService(
            settings, member.MemberRole.GATEWAY, self._platform
        )
        self._peers = transport_server.PeerServer(
            settings.listen_address,
            settings.peer_port,
            settings.peer_key,
            self._replication.relay.serve,
            accepted_peer_keys=settings.accepted_peer_keys,
            credentials=tls.server_credentials(settings),
        )
        self._registrar = registrar.Registrar(
            self._platform,
            member.from_settings(
                settings,
                member.MemberRole.GATEWAY,
                ids.IncarnationId(ids.random_id()),
                self._peers.port,
            ),
        )
        self._state = state_factory.create(
            settings, self._platform, self._replication, metrics
        )
        self._vm_sweeper = vm_sweeper.VmSweeper(
            settings, self._platform, self._replication.members
        )
        self._claim_sweeper = sweeper.ClaimSweeper(
            settings, self._platform, self._replication.members
        )
        self._memory = memory_budget.create_for_process(
            settings.memory_limit_mb
        )
        self._http = http_server.HttpServer(
            memory_app.MemoryApp(app.create(self._state), self._memory),
            settings,
            slots=connection_slots.create(self._memory.requests, None),
        )

    async def run(self) -> None:
        """Serves until shutdown is requested, then drains."""
        self._signals.install()
        await self._peers.start()
        self._http.start()
        self._tasks.start("spread", self._replication.run)
        self._tasks.start("registration", self._registrar.maintain)
        self._tasks.start("vm sweeper", self._vm_sweeper.run)
        self._tasks.start("readiness", self._set_ready_when_configured)
        self._tasks.start("claim sweeper", self._claim_sweeper.run)
        self._tasks.start("memory", guard.MemoryGuard(self._memory).run)
        self._start_suspect_tasks()
        logger.info(
            "gateway.listening",
            http_port=self._http.port,
            peer_port=self._peers.port,
        )
        await self._signals.requested.wait()
        await shutdown.run_step("drain", self._drain())
        await self._close()

    def _start_suspect_tasks(self) -> None:
        suspects = self._state.suspects
        follower = self._replication.hub.create_follower(
            suspect_list.SUSPECTS_PREFIX, suspects.on_list, suspects.on_event
        )
        self._tasks.start("suspects", follower.run)
        self._tasks.start("suspect-writes", self._state.suspect_publisher.run)

    async def _set_ready_when_configured(self) -> None:
        await self._replication.configuration.wait_for(
            ids.ConfigurationNumber(0)
        )
        self._state.ready = not self._signals.requested.is_set()

    async def _drain(self) -> None:
        """Fails the readiness check, then waits for running requests to end."""
        self._state.ready = False
        self._tasks.start("announcement", self._registrar.announce_draining)
        finished = await self._signals.run_unless_forced(self._stop_http())
        if not finished:
            await self._http.abort()
        logger.info("gateway.drained", hurried=not finished)

    async def _stop_http(self) -> None:
        await asyncio.sleep(self._settings.drain_notice_s)
        await self._http.stop()
        await self._state.result_writer.drain()

    async def _close(self) -> None:
        await shutdown.run_step("deregistration", self._registrar.deregister())
        await shutdown.run_step("tasks", self._tasks.stop())
        await shutdown.run_step("callers", self._http.abort())
        await shutdown.run_step("peer connections", self._state.peers.close())
        await shutdown.run_step("peers", self._peers.stop())
        await shutdown.run_step("platform", self._platform.close())
