"""A gateway's choice of endpoints, over simulated sidecars."""

import asyncio
from collections.abc import Sequence
import math

from bench import distances
from bench import outcome
from bench import simulated_sidecar
from bronzeslip import ids
from bronzeslip.admission import request
from bronzeslip.configuration import binding
from bronzeslip.membership import directory
from bronzeslip.routing import candidate
from bronzeslip.routing import policy
from bronzeslip.routing import router
from bronzeslip.settings import gateway
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason

SERVICE_NAME = ids.ServiceName("drafts")
_TOKEN_BYTES = 24
_MAX_TOKENS = 4096


class LoadTable:
    """Latest load heard from each sidecar."""

    def __init__(self) -> None:
        self._loads: dict[str, link.EndpointLoad] = {}
        self._heard_s: dict[str, float] = {}

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the latest load heard from a sidecar."""
        return self._loads.get(address, link.EndpointLoad())

    def load_age_s(self, address: str) -> float:
        """Returns the time since it was heard."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._heard_s.get(address, -math.inf)

    def request_load(self, address: str) -> None:
        """Does nothing: every sidecar tells its load."""

    def put(self, address: str, load: link.EndpointLoad) -> None:
        """Notes a load that has arrived."""
        self._loads[address] = load
        self._heard_s[address] = asyncio.get_running_loop().time()


class SimulatedGateway:
    """Sends callers' requests to sidecars as the real one does."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        chosen_policy: policy.RoutingPolicy,
        sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
        places: distances.Distances,
        tells_lengths: bool = False,
    ) -> None:
        """Creates a gateway.

        Args:
            settings: Settings of the gateway.
            chosen_policy: Choice of endpoints.
            sidecars: Sidecars of the pool.
            places: Delays.
            tells_lengths: Whether max_tokens is the true length.
        """
        self._tells_lengths = tells_lengths
        self._settings = settings
        self._quick_wait_s = settings.quick_queue_wait_s
        self._places = places
        self._sidecars = {one.member.address: one for one in sidecars}
        self.loads = LoadTable()
        members = directory.MemberDirectory()
        for one in sidecars:
            members.put(one.member)
        self._routes = router.Router(members, self.loads, chosen_policy)
        self._binding = binding.Binding(
            (binding.ANY_WORKSPACE,), SERVICE_NAME, sidecars[0].member.pool
        )

    async def run(
        self, result: outcome.Outcome, expires_in_s: float
    ) -> simulated_sidecar.Terminal:
        """Runs a request on the first endpoint that takes it."""
        wanted = policy.RoutingRequest(
            result.arrival.workspace_id,
            SERVICE_NAME,
            result.arrival.prompt,
            self._settings.region,
        )
        refused = []
        for option in self._options(wanted):
            terminal = await self._try(
                option, wanted, result, expires_in_s, self._quick_wait_s
            )
            if not isinstance(terminal, frames.GenerationRefused):
                return terminal
            refused.append(terminal)
        if any(one.reason is reason.RefusalReason.BUSY for one in refused):
            option = self._options(wanted)[0]
            return await self._try(
                option, wanted, result, expires_in_s, math.inf
            )
        return min(refused, key=lambda one: one.retry_after_s)

    def _options(
        self, wanted: policy.RoutingRequest
    ) -> list[candidate.Candidate]:
        options = self._routes.candidates(self._binding, wanted)
        return options[: self._settings.dispatch_attempts]

    async def beat(self, one: simulated_sidecar.SimulatedSidecar) -> None:
        """Receives the heartbeats of a sidecar."""
        delay_s = self._delay_s(one)
        while True:
            load = one.gate.load
            await asyncio.sleep(delay_s)
            if one.is_heard:
                self.loads.put(one.member.address, load)
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    async def _try(
        self,
        option: candidate.Candidate,
        wanted: policy.RoutingRequest,
        result: outcome.Outcome,
        expires_in_s: float,
        max_queue_wait_s: float,
    ) -> simulated_sidecar.Terminal:
        address = option.endpoint.address
        one = self._sidecars[address]
        delay_s = self._delay_s(one)
        self._routes.record_start(one.member.endpoint_id)
        self._routes.record_accepted(wanted, one.member.endpoint_id)
        await asyncio.sleep(delay_s)
        terminal = await one.run(
            self._admission_request(result, expires_in_s, max_queue_wait_s),
            result,
        )
        load = one.gate.load
        await asyncio.sleep(delay_s)
        self.loads.put(address, load)
        self._routes.record_end(one.member.endpoint_id)
        self._count_bytes(one, result, terminal)
        return terminal

    def _admission_request(
        self,
        result: outcome.Outcome,
        expires_in_s: float,
        max_queue_wait_s: float,
    ) -> request.AdmissionRequest:
        arrival = result.arrival
        return request.AdmissionRequest(
            ids.GenerationId(str(arrival.number)),
            arrival.workspace_id,
            SERVICE_NAME,
            arrival.workspace_class,
            arrival.weight,
            len(arrival.prompt),
            arrival.length_tokens if self._tells_lengths else _MAX_TOKENS,
            expires_in_s,
            max_queue_wait_s,
        )

    def _count_bytes(
        self,
        one: simulated_sidecar.SimulatedSidecar,
        result: outcome.Outcome,
        terminal: simulated_sidecar.Terminal,
    ) -> None:
        if one.member.region == self._settings.region:
            return
        result.cross_region_bytes += len(result.arrival.prompt)
        if isinstance(terminal, frames.GenerationFinished):
            result.cross_region_bytes += terminal.token_count * _TOKEN_BYTES

    def _delay_s(self, one: simulated_sidecar.SimulatedSidecar) -> float:
        return self._places.between(self._settings.region, one.member.region)
