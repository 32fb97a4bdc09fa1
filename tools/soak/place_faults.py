"""Faults of locations, of stated load and of the placement coordinator."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random
import re
import time

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import entry_endpoint
from tools import entry_gateway
from tools.soak import caller
from tools.soak import fault
from tools.soak import place_checker
from tools.soak import place_demand
from tools.soak import request_result

_LOAD_MODES = ("steady", "noisy", "lying")
_LOAD_RANGE_S = (0.5, 2.0)
# Leaves time to observe arrivals after the bound.
_EVACUATION_DURATION_S = entry_configuration.EVACUATION_S + 2.0
_COLD_DURATION_S = place_checker.COLD_CONTACT_S + 2.0
# With these callers, requests for a cold endpoint without limit exceed what it
# may get; the callers of a trial alone send it about 3 requests per second.
_COLD_CALLERS = 30
_PLACED = re.compile(
    r'bronzeslip_placements_total\{verdict="placed"\} ([0-9.]+)'
)


class PlaceFaults:
    """Injects the faults of `fault.SEPARATE_FAULTS`.

    Attributes:
        demands: Demands that were made of the gateways.
        results: Results of the requests sent while endpoints were cold.
    """

    def __init__(
        self,
        deployment: entry_deployment.EntryDeployment,
        gateways: Sequence[entry_gateway.EntryGateway],
        endpoints: Sequence[entry_endpoint.EntryEndpoint],
        kill_gateway: Callable[[entry_gateway.EntryGateway], None],
        rng: random.Random,
    ) -> None:
        """Creates an injector.

        Args:
            deployment: Deployment to inject faults into.
            gateways: Gateways that may be killed.
            endpoints: Endpoints that may be affected.
            kill_gateway: Kills a gateway, records it and starts it again.
            rng: Source of random numbers.
        """
        self.demands: list[place_demand.PlaceDemand] = []
        self.results: list[request_result.RequestResult] = []
        self._deployment = deployment
        self._gateways = gateways
        self._endpoints = endpoints
        self._kill_gateway = kill_gateway
        self._rng = rng
        self.methods: dict[fault.Fault, Callable[[], None]] = {
            fault.Fault.LOAD_STATED: self._state_load,
            fault.Fault.ZONE_EVACUATED: self._evacuate,
            fault.Fault.ENDPOINT_BECOMES_COLD: self._cool_endpoint,
            fault.Fault.COORDINATOR_KILLED: self._kill_coordinator,
        }

    def _state_load(self) -> None:
        """Makes endpoints state their load, then stop doing so."""
        for endpoint in self._endpoints:
            self._select_load(endpoint, self._rng.choice(_LOAD_MODES))
        time.sleep(self._rng.uniform(*_LOAD_RANGE_S))
        for endpoint in self._endpoints:
            self._select_load(endpoint, "none")

    def _select_load(
        self, endpoint: entry_endpoint.EntryEndpoint, mode: str
    ) -> None:
        # A poison prompt of another series may have crashed the endpoint.
        with contextlib.suppress(httpx.TransportError):
            endpoint.state_load(mode)

    def _evacuate(self) -> None:
        zone = self._rng.choice(tuple(entry_configuration.REGION_BY_ZONE))
        self._deployment.put_object("evacuations", zone, {})
        started_s = time.monotonic()
        time.sleep(_EVACUATION_DURATION_S)
        self._demand(
            place_demand.DemandKind.EVACUATION,
            zone,
            started_s,
            time.monotonic(),
        )
        self._deployment.remove_object("evacuations", zone)

    def _cool_endpoint(self) -> None:
        endpoints = [
            endpoint
            for endpoint in self._endpoints
            if endpoint in self._deployment.call_endpoints
        ]
        if not endpoints:
            return
        endpoint = self._rng.choice(endpoints)
        self._deployment.put_object(
            "servers",
            endpoint.endpoint_id,
            endpoint.discovery_entry(cold_left_s=_COLD_DURATION_S),
        )
        started_s = time.monotonic()
        asyncio.run(self._call_for(_COLD_DURATION_S))
        self._demand(
            place_demand.DemandKind.COLD,
            endpoint.endpoint_id,
            started_s,
            started_s + _COLD_DURATION_S,
        )
        self._deployment.register(endpoint)

    async def _call_for(self, duration_s: float) -> None:
        """Sends requests to all gateways for a time."""
        callers = caller.Callers(
            self._deployment.gateways,
            random.Random(self._rng.getrandbits(64)),
            time.monotonic(),
        )
        stop = asyncio.Event()
        calling_task = asyncio.create_task(callers.run(_COLD_CALLERS, stop))
        await asyncio.sleep(duration_s)
        stop.set()
        await calling_task
        self.results += callers.results

    def _demand(
        self,
        kind: place_demand.DemandKind,
        name: str,
        started_s: float,
        ended_s: float,
    ) -> None:
        self.demands.append(
            place_demand.PlaceDemand(kind, name, started_s, ended_s)
        )

    def _kill_coordinator(self) -> None:
        """Kills the gateway that has placed most requests since its start."""
        self._kill_gateway(max(self._gateways, key=_placed_count))


def _placed_count(gateway: entry_gateway.EntryGateway) -> float:
    try:
        match = _PLACED.search(gateway.fetch_metrics())
    except httpx.TransportError:
        return 0.0
    return 0.0 if match is None else float(match.group(1))
