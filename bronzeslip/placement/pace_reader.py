"""Reads the pace of the engines whose placements a gateway coordinates."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.placement import coordination_duties
from bronzeslip.routes import service

logger = logs.get_logger(__name__)

# A neighbour slows a VM for about 0.6 s at a time. Reports state no pace, and
# the responses to generations reach all gateways but rarely this one. The cost
# is one health check per engine and interval in all, from one gateway. With
# 0.25 s, and reports each 0.3 s, a coordinator of 21 engines on 0.27 of a core
# took 82 ms for half of its decisions; with 0.5 s for both 30 ms.
_INTERVAL_S = 0.5


class PaceReader:
    """Makes engines state their pace while placements are being asked for."""

    def __init__(
        self,
        endpoints: directory.EndpointDirectory,
        client: endpoint_client.EndpointClient,
        duties: coordination_duties.CoordinationDuties,
        services: Callable[[], Iterable[service.Service]],
    ) -> None:
        """Initializes the reader.

        Args:
            endpoints: Directory of the known endpoints and their statements.
            client: Client for calls to endpoints.
            duties: Shards that this gateway coordinates.
            services: Returns the configured services.
        """
        self._endpoints = endpoints
        self._client = client
        self._duties = duties
        self._services = services
        self._reading: set[ids.EndpointId] = set()
        self._tasks = task_set.TaskSet()

    async def run(self) -> None:
        """Reads paces until cancelled."""
        while True:
            with isolation.isolated(logger, "placement.paces_not_read"):
                self.start_reads()
            await asyncio.sleep(_INTERVAL_S)

    def start_reads(self) -> None:
        """Starts a read of each engine that has none in progress."""
        for target_service in self._services():
            name = target_service.name
            if (
                target_service.engine is None
                or not self._duties.has_shard_of(name)
                or not self._endpoints.load_statements.states_pace(name)
            ):
                continue
            for engine in self._endpoints.ready_endpoints(name):
                if (
                    self._duties.is_active(engine)
                    and engine.endpoint_id not in self._reading
                ):
                    self._tasks.start(
                        f"pace {engine.endpoint_id}",
                        self._read(engine, target_service.health_path),
                    )

    async def _read(self, engine: endpoint.Endpoint, health_path: str) -> None:
        self._reading.add(engine.endpoint_id)
        try:
            await self._client.read_load(engine, health_path)
        except endpoint_errors.EndpointError as error:
            # Reports tell whether the engine can be reached.
            logger.debug(
                "placement.pace_not_read",
                endpoint=engine.endpoint_id,
                reason=error.message,
            )
        finally:
            self._reading.discard(engine.endpoint_id)
