"""The gateway as one object."""

import asyncio
import random

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.claims import result_keeper
from bronzeslip.claims import store as claim_store
from bronzeslip.configuration import in_force
from bronzeslip.configuration import store
from bronzeslip.configuration import watcher
from bronzeslip.gateway import access
from bronzeslip.gateway import app
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import state
from bronzeslip.http import server as http_server
from bronzeslip.http import shutdown
from bronzeslip.membership import directory
from bronzeslip.platform import client as platform_client
from bronzeslip.routing import least_outstanding
from bronzeslip.routing import router
from bronzeslip.settings import gateway

logger = logs.get_logger(__name__)


class GatewayDaemon:
    """Serves callers and operators on one entry VM."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._settings = settings
        self._platform = platform_client.PlatformClient(
            settings.platform_url, settings.platform_timeout_s
        )
        self._parts = self._create_parts()
        self._http = http_server.HttpServer(
            app.create(self._parts),
            settings.listen_address,
            settings.http_port,
        )
        self._watcher = watcher.ConfigurationWatcher(
            self._platform, self._parts.configuration
        )

    async def run(self) -> None:
        """Serves until told to shut down, then drains."""
        signals = shutdown.ShutdownSignals()
        signals.install()
        followers = [
            asyncio.create_task(self._watcher.run()),
            asyncio.create_task(
                self._parts.members.follower(self._platform).run()
            ),
        ]
        self._http.start()
        logger.info("gateway.listening", http_port=self._http.port)
        await self._parts.configuration.wait_for(ids.ConfigurationNumber(0))
        self._parts.ready = True
        await signals.requested.wait()
        self._parts.ready = False
        await asyncio.sleep(self._settings.drain_notice_s)
        await self._stop_http(signals)
        for task in followers:
            task.cancel()
        await self._parts.peers.close()
        await self._platform.close()

    async def _stop_http(self, signals: shutdown.ShutdownSignals) -> None:
        stopping = asyncio.create_task(self._finish_requests())
        hurried = asyncio.create_task(signals.hurried.wait())
        await asyncio.wait(
            (stopping, hurried), return_when=asyncio.FIRST_COMPLETED
        )
        for task in (stopping, hurried):
            task.cancel()

    async def _finish_requests(self) -> None:
        await self._http.stop()
        await self._parts.results.drain()

    def _create_parts(self) -> state.GatewayState:
        settings = self._settings
        configuration = in_force.ConfigurationInForce()
        members = directory.MemberDirectory()
        peers = peer_pool.PeerPool(settings)
        routes = router.Router(
            members,
            peers,
            least_outstanding.LeastOutstandingPolicy(random.Random()),
        )
        claims = claim_store.ClaimStore(self._platform)
        return state.GatewayState(
            settings=settings,
            configuration=configuration,
            store=store.ConfigurationStore(self._platform),
            members=members,
            peers=peers,
            routes=routes,
            access=access.Access(settings, configuration),
            claims=claims,
            results=result_keeper.ResultKeeper(settings, claims),
        )
