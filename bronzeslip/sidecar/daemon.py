"""Sidecar process."""

import asyncio
import functools

import msgspec

from bronzeslip import background
from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.admission import memory_gate
from bronzeslip.engine import client as engine_client
from bronzeslip.http import server as http_server
from bronzeslip.http import shutdown
from bronzeslip.membership import member
from bronzeslip.membership import registrar
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.orders import factory
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import app
from bronzeslip.sidecar import cache_index
from bronzeslip.sidecar import calls
from bronzeslip.sidecar import generations
from bronzeslip.sidecar import leaving_watch
from bronzeslip.sidecar import load_poller
from bronzeslip.sidecar import peer_session
from bronzeslip.sidecar import peer_sessions
from bronzeslip.spread import service
from bronzeslip.store import client as platform_client
from bronzeslip.transport import server as transport_server
from bronzeslip.transport import stream
from bronzeslip.transport import tls
from bronzeslip.transport.frames import reason

logger = logs.get_logger(__name__)

_RECLAIM_MARGIN_S = 2.0


class SidecarDaemon:
    """Runs next to one endpoint and handles all requests to it."""

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._settings = settings
        self._incarnation_id = ids.IncarnationId(ids.random_id())
        self._ready = False
        self._signals = shutdown.ShutdownSignals()
        self._tasks = background.BackgroundTasks()
        metrics = sidecar_metrics.SidecarMetrics()
        self._cache = cache_index.CacheIndex(settings)
        self._admission = memory_gate.MemoryGate(settings)
        self._engine = engine_client.EngineClient(settings.endpoint_url)
        self._generation_table = generations.GenerationTable(
            settings, self._engine, self._admission, metrics, self._cache
        )
        self._admission.get_cached_prefixes = self._cache.digest
        self._poller = load_poller.LoadPoller(
            settings, self._engine, self._admission, self._cache
        )
        self._call_runner = calls.CallRunner(
            settings, self._incarnation_id, self._admission, metrics
        )
        self._platform = platform_client.PlatformClient(
            settings.platform_url,
            settings.platform_timeout_s,
            on_call=metrics.count_platform_call,
        )
        self._record_prefix = f"{member.SIDECARS_PREFIX}{settings.endpoint_id}"
        self._replication = service.ReplicationService(
            settings,
            member.MemberRole.SIDECAR,
            self._platform,
            (self._record_prefix,),
        )
        metrics.track_configuration_number(self._replication.configuration)
        metrics.set_load_source(lambda: self._admission.load)
        self._reclaim_watcher = leaving_watch.ReclaimWatcher(
            settings,
            self._incarnation_id,
            self._engine,
            self._replication.configuration,
            self._on_leaving,
        )
        self._reconciler = factory.create(
            settings,
            self._incarnation_id,
            self._platform,
            self._engine,
            self._replication.configuration,
            self._admission,
        )
        self._sessions = peer_sessions.PeerSessions()
        self._peers = transport_server.PeerServer(
            settings.listen_address,
            settings.peer_port,
            settings.peer_key,
            self._serve_peer,
            accepted_peer_keys=settings.accepted_peer_keys,
            credentials=tls.server_credentials(settings),
        )
        self._http = http_server.HttpServer(
            app.create(lambda: self._ready, metrics), settings
        )
        self._registrar = registrar.Registrar(self._platform, self._member())

    async def run(self) -> None:
        """Serves until a shutdown is requested, then drains."""
        self._signals.install()
        await self._peers.start()
        self._http.start()
        self._tasks.start("spread", self._replication.run)
        self._tasks.start("registration", self._registrar.maintain)
        self._tasks.start("load poller", self._poller.run)
        self._tasks.start("sweep", self._generation_table.sweep)
        self._tasks.start("leaving watch", self._reclaim_watcher.run)
        self._tasks.start("orders", self._reconciler.run)
        self._tasks.start(
            "own record",
            self._replication.hub.create_follower(
                self._record_prefix,
                self._reclaim_watcher.on_list,
                self._reclaim_watcher.on_event,
            ).run(),
        )
        self._ready = True
        logger.info(
            "sidecar.listening",
            http_port=self._http.port,
            peer_port=self._peers.port,
            endpoint_id=self._settings.endpoint_id,
        )
        await self._signals.requested.wait()
        await shutdown.run_step("drain", self._drain())
        await self._close()

    def _on_leaving(self) -> None:
        """Refuses new work and reports as lost what cannot end in time."""
        self._refuse_new_work()
        notice_s = self._settings.reclaim_notice_s
        end_s = asyncio.get_running_loop().time() + notice_s - _RECLAIM_MARGIN_S
        self._tasks.start(
            "reclaim", functools.partial(self._end_before_reclaim, end_s)
        )

    async def _end_before_reclaim(self, end_s: float) -> None:
        remaining_s = end_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(remaining_s, 0.0))
        logger.info("sidecar.reclaimed")
        self._generation_table.end_all(reason.LossReason.RECLAIMED)

    def _refuse_new_work(self) -> None:
        if self._ready:
            self._ready = False
            self._admission.drain()
            self._tasks.start("announcement", self._registrar.announce_draining)

    async def _drain(self) -> None:
        self._reclaim_watcher.ignore_record()
        self._refuse_new_work()
        ended = await self._signals.run_unless_forced(self._wait_idle())
        logger.info("sidecar.drained", hurried=not ended)

    async def _wait_idle(self) -> None:
        await self._admission.wait_idle()
        await self._generation_table.wait_without_readers()
        await self._sessions.finish()

    async def _close(self) -> None:
        await asyncio.sleep(self._settings.drain_notice_s)
        await shutdown.run_step("deregistration", self._registrar.deregister())
        await shutdown.run_step("tasks", self._tasks.stop())
        await shutdown.run_step("peers", self._peers.stop())
        await shutdown.run_step("http", self._http.stop())
        await shutdown.run_step("calls", self._call_runner.close())
        await shutdown.run_step("engine", self._engine.close())
        await shutdown.run_step("platform", self._platform.close())

    async def _serve_peer(self, peer: stream.PeerStream) -> None:
        session = peer_session.PeerSession(
            self._settings,
            self._incarnation_id,
            self._admission,
            self._generation_table,
            self._call_runner,
            peer,
        )
        await self._sessions.run(session)

    def _member(self) -> member.Member:
        process = member.from_settings(
            self._settings,
            member.MemberRole.SIDECAR,
            self._incarnation_id,
            self._peers.port,
        )
        return msgspec.structs.replace(
            process,
            endpoint_id=self._settings.endpoint_id,
            pool=self._settings.pool,
        )
