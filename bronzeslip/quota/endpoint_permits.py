"""Acquires permits for the requests of this gateway."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import limit_statement
from bronzeslip.quota import coordinators
from bronzeslip.quota import denials
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.quota import peer_client
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request
from bronzeslip.quota import permit_verdict

logger = logs.get_logger(__name__)

# Time for which a gateway that did not reply is not asked again.
_PEER_PAUSE_S = 2.0
# Time until the next attempt if no coordinator could decide.
_UNDECIDED_RETRY_S = 1.0


class EndpointPermits:
    """Asks for a permit before each request to an endpoint that has a limit.

    One gateway coordinates all permits for an endpoint, so that the limit holds
    however callers are distributed over the gateways. If it does not reply, a
    second one grants a part of the limit. Without a reply of either, nothing
    is sent to the endpoint.
    """

    def __init__(
        self,
        vm_id: ids.VmId,
        endpoints: directory.EndpointDirectory,
        gateways: coordinators.Coordinators,
        coordinator: permit_coordinator.PermitCoordinator,
        client: peer_client.PeerClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the permits of one gateway.

        Args:
            vm_id: VM of this gateway.
            endpoints: Directory of the known endpoints and their limits.
            gateways: Ranks the coordinators of an endpoint.
            coordinator: Decides where this gateway is the coordinator.
            client: Client for calls to other gateways.
            clock: Monotonic clock, in seconds.
        """
        self._vm_id = vm_id
        self._limits = endpoints.request_limits
        self._gateways = gateways
        self._coordinator = coordinator
        self._client = client
        self._clock = clock
        self._denials = denials.Denials()
        self._peer_pauses_s: dict[ids.VmId, float] = {}
        self._announcements: set[asyncio.Task] = set()
        endpoints.add_gone_listener(
            lambda gone: self._denials.remove(gone.endpoint_id)
        )
        self._limits.add_ended_listener(self._on_limit_ended)

    async def acquire(
        self, target: endpoint.Endpoint, reserved: float = 0.0
    ) -> float:
        """Acquires a permit to send one request to an endpoint.

        Args:
            target: The endpoint.
            reserved: Permits to leave for more important requests.

        Returns:
            0 if the request may be sent, otherwise the time after which a
            permit may be available, in seconds.
        """
        delay_s = self.denied_s(target, reserved)
        if delay_s or self._limits.rate_of(target) is None:
            return delay_s
        reply = await self._ask(target, reserved)
        if reply is None:
            self._gateways.refresh_soon()
            delay_s = _UNDECIDED_RETRY_S
        elif reply.verdict is permit_verdict.PermitVerdict.DENIED:
            delay_s = reply.retry_after_s
        if delay_s:
            self._denials.add(
                target.endpoint_id, reserved, self._clock() + delay_s
            )
        return delay_s

    def denied_s(
        self, target: endpoint.Endpoint, reserved: float = 0.0
    ) -> float:
        """Returns how long permits for an endpoint are denied, in seconds."""
        if self._limits.rate_of(target) is None:
            return 0.0
        return self._denials.remaining_s(
            target.endpoint_id, reserved, self._clock()
        )

    def total_rate_per_s(self, targets: Iterable[endpoint.Endpoint]) -> float:
        """Returns the sum of the limits of endpoints that have one."""
        return sum(self._limits.rate_of(target) or 0.0 for target in targets)

    async def _ask(
        self, target: endpoint.Endpoint, reserved: float
    ) -> permit_reply.PermitReply | None:
        """Asks the coordinator, then its fallback; None if neither decides."""
        latest = self._limits.latest(target)
        ranked = self._gateways.ranked(target.endpoint_id)
        for index, coordinator in enumerate(ranked):
            request = permit_request.PermitRequest(
                target.endpoint_id,
                target.address,
                target.started_unix_ms,
                latest.rate_per_s,
                self._clock() - latest.stated_s,
                reserved,
                is_fallback=index > 0,
            )
            reply = await self._ask_gateway(coordinator, request)
            if (
                reply is not None
                and reply.verdict
                is not permit_verdict.PermitVerdict.NOT_RESPONSIBLE
            ):
                self._limits.merge(
                    target,
                    limit_statement.LimitStatement(
                        reply.rate_per_s, self._clock() - reply.statement_age_s
                    ),
                )
                return reply
        return None

    async def _ask_gateway(
        self, coordinator: peer.Peer, request: permit_request.PermitRequest
    ) -> permit_reply.PermitReply | None:
        if coordinator.vm_id == self._vm_id:
            return self._coordinator.decide(request)
        now_s = self._clock()
        if self._peer_pauses_s.get(coordinator.vm_id, now_s) > now_s:
            return None
        try:
            return await self._client.ask(coordinator, request)
        except errors.PeerUnavailableError as error:
            logger.info(
                "permits.peer_unavailable",
                gateway=coordinator.vm_id,
                endpoint=request.endpoint_id,
                reason=error.message,
            )
            self._peer_pauses_s[coordinator.vm_id] = now_s + _PEER_PAUSE_S
            return None

    def _on_limit_ended(self, target: endpoint.Endpoint) -> None:
        """Tells the coordinator, from which the other gateways learn it."""
        task = asyncio.create_task(self._ask(target, 0.0))
        self._announcements.add(task)
        task.add_done_callback(self._announcements.discard)
