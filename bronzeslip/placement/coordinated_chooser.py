"""Chooses the endpoint that the coordinator of a service names."""

import asyncio
from collections.abc import Callable
from collections.abc import Set as AbstractSet
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import fields
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import load_forecast
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import client_patience
from bronzeslip.placement import coordinator_contact
from bronzeslip.placement import local_reason
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_caller
from bronzeslip.placement import placement_gate
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import shard
from bronzeslip.places import permitted_regions
from bronzeslip.quota import peer
from bronzeslip.routes import kind

logger = logs.get_logger(__name__)

# Bounds how long a coordinator can delay a request by a single reply.
_MAX_DEFERRAL_S = 0.25
# A coordinator that asks to return at once must not keep two gateways busy.
_MIN_DEFERRAL_S = 0.01
# A coordinator learns of new engines up to some seconds before this gateway,
# and names them first, since they are idle.
_MAX_UNKNOWN_ENDPOINTS = 3
# Refused clients return after this time at least.
_MIN_RETRY_AFTER_S = 0.5

Verdict = placement_verdict.PlacementVerdict
Reason = local_reason.LocalReason


class CoordinatedChooser:
    """Asks the coordinator of a service; chooses locally without its reply."""

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
        local: chooser.EndpointChooser,
        gate: placement_gate.PlacementGate,
        caller: placement_caller.PlacementCaller,
        contact: coordinator_contact.CoordinatorContact,
        connections: connection_share.ConnectionShare,
        regions: permitted_regions.PermittedRegionsFilter,
        metrics: entry_metrics.EntryMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the chooser.

        Args:
            this_vm: Location of this gateway.
            endpoints: Directory of the known endpoints.
            local: Chooses where no coordinator decides.
            gate: Decides which services are coordinated.
            caller: Asks the coordinators.
            contact: Records whether they reply.
            connections: Limits the requests in flight at an endpoint.
            regions: Decides which endpoints a request may reach.
            metrics: Counts local choices by their reason.
            clock: Clock of the event loop, in seconds.
        """
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._local = local
        self._gate = gate
        self._caller = caller
        self._contact = contact
        self._connections = connections
        self._regions = regions
        self._metrics = metrics
        self._clock = clock

    async def choose(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        was_sent: bool = False,
    ) -> endpoint.Endpoint:
        """Returns the endpoint to send a request to.

        Args:
            request: Request to send.
            tried: Endpoints that must not be chosen.
            was_sent: Whether the request has been sent to an endpoint before.

        Raises:
            errors.OverloadedError: If the coordinator refuses the request, or
                no endpoint could start it in time.
            errors.NotRunError: If no endpoint is left.
        """
        if not self.is_coordinated(request) or not self._has_candidate(
            request, tried
        ):
            return self._local.choose(request, tried)
        placed = await self._place(request, tried, was_sent)
        if isinstance(placed, endpoint.Endpoint):
            return placed
        logger.info(
            "placement.local_choice",
            request=request.request.request_id,
            reason=placed,
        )
        self._metrics.count_local_choice(placed.value)
        self._caller.ended.end(request.request.request_id)
        return self._local.choose(request, tried)

    def is_coordinated(self, request: admitted.AdmittedRequest) -> bool:
        """Returns whether to ask a coordinator for a request.

        Requests that are no streams state no end to their coordinator.
        """
        return (
            request.request.shape is not None
            and request.route.kind is kind.RequestKind.STREAM
            and self._gate.is_coordinated(request.service.name)
        )

    def coordinators(
        self, request: admitted.AdmittedRequest
    ) -> tuple[peer.Peer, ...]:
        """Returns the gateways to ask for a placement now, in order."""
        return self._caller.gateways_to_ask(self._shard_of(request))

    def _has_candidate(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
    ) -> bool:
        """Returns whether a coordinator could name a usable endpoint.

        Stops at the first one, which is among the first of all endpoints
        unless the request is restricted.
        """
        return any(
            candidate.endpoint_id not in tried
            and self._regions.is_eligible(candidate, request.permitted_regions)
            for candidate in self._endpoints.ready_endpoints(
                request.service.name
            )
        )

    def end(self, request_id: ids.RequestId) -> None:
        """Records that a request has ended."""
        self._caller.ended.end(request_id)

    async def _place(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        was_sent: bool,
    ) -> endpoint.Endpoint | Reason:
        """Asks until the coordinator decides.

        The deadline of the request and the client's disconnection cancel the
        wait.
        """
        started_s = self._clock()
        unknown: set[ids.EndpointId] = set()
        while True:
            ask = self._create_ask(request, tried | unknown, was_sent)
            reply = await self._caller.ask(ask)
            held_s = self._clock() - started_s
            placed = self._interpret(request, ask, reply, tried, held_s)
            if (
                placed is Reason.UNKNOWN_ENDPOINT
                and reply.endpoint_id not in unknown
                and len(unknown) < _MAX_UNKNOWN_ENDPOINTS
            ):
                unknown.add(reply.endpoint_id)
                continue
            # A gateway in contact polls few engines, so placements that it
            # can't use must end the contact: local choices need reports.
            self._contact.record(
                request.service.name, not isinstance(placed, Reason)
            )
            if placed is not None:
                return placed
            if reply.verdict is Verdict.REFUSED:
                return self._refuse(reply, was_sent)
            await self._wait(request, reply)

    def _interpret(
        self,
        request: admitted.AdmittedRequest,
        ask: placement_ask.PlacementAsk,
        reply: placement_reply.PlacementReply | None,
        tried: AbstractSet[ids.EndpointId],
        held_s: float,
    ) -> endpoint.Endpoint | Reason | None:
        """Returns what a reply leads to; None if deferred or refused."""
        if reply is None:
            return Reason.NO_REPLY
        if reply.verdict is Verdict.REFUSED:
            return None
        if reply.verdict is Verdict.DEFERRED:
            # A coordinator refuses a request in time, unless it is faulty.
            is_exhausted = held_s >= client_patience.max_deferral_s(ask)
            return Reason.HELD_TOO_LONG if is_exhausted else None
        return self._validated(request, reply, tried)

    async def _wait(
        self,
        request: admitted.AdmittedRequest,
        reply: placement_reply.PlacementReply,
    ) -> None:
        """Waits until a deferred request is to ask again.

        Raises:
            errors.OverloadedError: If its deadline would pass meanwhile.
        """
        delay_s = max(reply.retry_after_s, _MIN_DEFERRAL_S)
        delay_s = min(delay_s, _MAX_DEFERRAL_S)
        if request.remaining_s <= delay_s:
            raise errors.OverloadedError(
                "no engine could take the request before its deadline",
                retry_after_s=_MIN_RETRY_AFTER_S,
            )
        await asyncio.sleep(delay_s)

    def _refuse(
        self, reply: placement_reply.PlacementReply, was_sent: bool
    ) -> Reason:
        """Refuses a request; one that was sent before is chosen for locally.

        Its client may have received a part of the response already.

        Raises:
            errors.OverloadedError: If the request has not been sent before.
        """
        if was_sent:
            return Reason.SENT_BEFORE
        raise errors.OverloadedError(
            "the coordinator found no engine that could start it in time",
            retry_after_s=max(reply.retry_after_s, _MIN_RETRY_AFTER_S),
        )

    def _validated(
        self,
        request: admitted.AdmittedRequest,
        reply: placement_reply.PlacementReply,
        tried: AbstractSet[ids.EndpointId],
    ) -> endpoint.Endpoint | Reason:
        """Checks a placement against what this gateway knows itself."""
        if reply.endpoint_id is None or reply.endpoint_id in tried:
            return Reason.INVALID_REPLY
        target = self._endpoints.get(reply.endpoint_id)
        if target is None or target.started_unix_ms != reply.started_unix_ms:
            return Reason.UNKNOWN_ENDPOINT
        if (
            target.service_name != request.service.name
            or not self._endpoints.is_usable(target)
            or not self._regions.is_eligible(target, request.permitted_regions)
        ):
            return Reason.UNUSABLE_ENDPOINT
        if not self._connections.has_free_connection(
            target, request.service, is_coordinated=True
        ):
            return Reason.NO_CONNECTION
        logger.info(
            "request.placed",
            request=request.request.request_id,
            endpoint=target.endpoint_id,
            wait_s=round(reply.wait_s, 3),
        )
        return target

    def _shard_of(self, request: admitted.AdmittedRequest) -> shard.Shard:
        service_name = request.service.name
        return shard.of_gateway(
            self._this_vm.vm_id,
            service_name,
            len(self._endpoints.ready_endpoints(service_name)),
        )

    def _create_ask(
        self,
        request: admitted.AdmittedRequest,
        tried: AbstractSet[ids.EndpointId],
        was_sent: bool,
    ) -> placement_ask.PlacementAsk:
        asked = self._shard_of(request)
        shape = request.request.shape
        objective_left_s = request.remaining_objective_s
        # An engine processes no more than its memory, whatever a client states.
        max_tokens = min(
            request.service.engine.memory_tokens, fields.MAX_NUMBER
        )
        return placement_ask.PlacementAsk(
            service=request.service.name,
            shard_index=asked.index,
            shard_count=asked.count,
            request_id=request.request.request_id,
            prompt_tokens=load_forecast.prompt_tokens(request),
            expected_tokens=min(shape.expected_tokens, max_tokens),
            output_tokens=min(shape.output_estimate_tokens, max_tokens),
            is_long=chooser.is_long_generation(request),
            priority=request.priority,
            workspace=request.workspace_id,
            remaining_s=request.remaining_s,
            objective_left_s=objective_left_s,
            # The client waits from the arrival on, also while permits are
            # requested.
            waited_s=max(request.route.objective_s - objective_left_s, 0.0),
            was_sent=was_sent,
            failure_domain=self._this_vm.failure_domain,
            permitted_regions=request.permitted_regions,
            excluded=frozenset(tried)
            | self._connections.exhausted_endpoints(request.service),
        )
