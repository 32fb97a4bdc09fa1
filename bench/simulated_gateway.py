"""Gateway with the real router that dispatches to simulated sidecars."""

import asyncio
from collections.abc import Sequence
import math

from bench import network_delays
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
    """Latest load received from each sidecar."""

    def __init__(self) -> None:
        self._loads: dict[str, link.EndpointLoad] = {}
        self._received_at_s: dict[str, float] = {}

    def load_of(self, address: str) -> link.EndpointLoad:
        """Returns the latest load received from a sidecar."""
        return self._loads.get(address, link.EndpointLoad())

    def load_age_s(self, address: str) -> float:
        """Returns the age of the latest load, in seconds."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._received_at_s.get(address, -math.inf)

    def request_load(self, address: str) -> None:
        """Does nothing, because every sidecar sends its load unasked."""

    def put(self, address: str, load: link.EndpointLoad) -> None:
        """Stores a received load."""
        self._loads[address] = load
        self._received_at_s[address] = asyncio.get_running_loop().time()


class SimulatedGateway:
    """Dispatches requests to sidecars in the same way as a real gateway."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        chosen_policy: policy.RoutingPolicy,
        sidecars: Sequence[simulated_sidecar.SimulatedSidecar],
        delays: network_delays.NetworkDelays,
        exposes_lengths: bool = False,
    ) -> None:
        """Creates a gateway.

        Args:
            settings: Settings of the gateway.
            chosen_policy: Routing policy.
            sidecars: Sidecars of the pool.
            delays: Network delays of the deployment.
            exposes_lengths: Whether max_tokens is set to the true length.
        """
        self._exposes_lengths = exposes_lengths
        self._settings = settings
        self._quick_queue_wait_s = settings.quick_queue_wait_s
        self._delays = delays
        self._sidecars = {target.member.address: target for target in sidecars}
        self.loads = LoadTable()
        members = directory.MemberDirectory()
        for target in sidecars:
            members.put(target.member)
        self._router = router.Router(members, self.loads, chosen_policy)
        self._binding = binding.Binding(
            (binding.ANY_WORKSPACE,), SERVICE_NAME, sidecars[0].member.pool
        )

    async def run(
        self, result: outcome.Outcome, expires_in_s: float
    ) -> simulated_sidecar.Terminal:
        """Runs a request on the first candidate that admits it.

        If all candidates refuse it and at least one is busy, the request waits
        at the best candidate.
        """
        routing_request = policy.RoutingRequest(
            result.arrival.workspace_id,
            SERVICE_NAME,
            result.arrival.prompt,
            self._settings.region,
        )
        refusals = []
        for chosen in self._candidates(routing_request):
            terminal = await self._dispatch(
                chosen,
                routing_request,
                result,
                expires_in_s,
                self._quick_queue_wait_s,
            )
            if not isinstance(terminal, frames.GenerationRefused):
                return terminal
            refusals.append(terminal)
        if any(
            refusal.reason is reason.RefusalReason.BUSY for refusal in refusals
        ):
            chosen = self._candidates(routing_request)[0]
            return await self._dispatch(
                chosen, routing_request, result, expires_in_s, math.inf
            )
        return min(refusals, key=lambda refusal: refusal.retry_after_s)

    def _candidates(
        self, routing_request: policy.RoutingRequest
    ) -> list[candidate.Candidate]:
        candidates = self._router.candidates(self._binding, routing_request)
        return candidates[: self._settings.dispatch_attempts]

    async def receive_heartbeats(
        self, target: simulated_sidecar.SimulatedSidecar
    ) -> None:
        """Receives the heartbeats of a sidecar until cancelled."""
        delay_s = self._delay_s(target)
        while True:
            load = target.gate.load
            await asyncio.sleep(delay_s)
            if target.sends_heartbeats:
                self.loads.put(target.member.address, load)
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    async def _dispatch(
        self,
        chosen: candidate.Candidate,
        routing_request: policy.RoutingRequest,
        result: outcome.Outcome,
        expires_in_s: float,
        max_queue_wait_s: float,
    ) -> simulated_sidecar.Terminal:
        address = chosen.endpoint.address
        target = self._sidecars[address]
        delay_s = self._delay_s(target)
        self._router.record_start(target.member.endpoint_id)
        self._router.record_accepted(routing_request, target.member.endpoint_id)
        await asyncio.sleep(delay_s)
        terminal = await target.run(
            self._admission_request(result, expires_in_s, max_queue_wait_s),
            result,
        )
        load = target.gate.load
        await asyncio.sleep(delay_s)
        self.loads.put(address, load)
        self._router.record_end(target.member.endpoint_id)
        self._count_bytes(target, result, terminal)
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
            arrival.length_tokens if self._exposes_lengths else _MAX_TOKENS,
            expires_in_s,
            max_queue_wait_s,
        )

    def _count_bytes(
        self,
        target: simulated_sidecar.SimulatedSidecar,
        result: outcome.Outcome,
        terminal: simulated_sidecar.Terminal,
    ) -> None:
        if target.member.region == self._settings.region:
            return
        result.cross_region_bytes += len(result.arrival.prompt)
        if isinstance(terminal, frames.GenerationFinished):
            result.cross_region_bytes += terminal.token_count * _TOKEN_BYTES

    def _delay_s(self, target: simulated_sidecar.SimulatedSidecar) -> float:
        return self._delays.one_way_s(
            self._settings.region, target.member.region
        )
