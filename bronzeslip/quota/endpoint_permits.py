"""Acquires permits for the requests of this gateway."""

from collections.abc import Callable
from collections.abc import Iterable
import time

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import limit_statement
from bronzeslip.quota import coordinators
from bronzeslip.quota import denials
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request
from bronzeslip.quota import permit_verdict

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
        endpoints: directory.EndpointDirectory,
        gateways: coordinators.Coordinators,
        caller: peer_caller.PeerCaller,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the permits of one gateway.

        Args:
            endpoints: Directory of the known endpoints and their limits.
            gateways: Ranks the coordinators of an endpoint.
            caller: Calls the coordinators.
            clock: Monotonic clock, in seconds.
        """
        self._endpoints = endpoints
        self._limits = endpoints.request_limits
        self._gateways = gateways
        self._caller = caller
        self._clock = clock
        self._denials = denials.Denials()
        endpoints.add_gone_listener(
            lambda gone: self._denials.remove(gone.endpoint_id)
        )

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
        if self._limits.rate_of(target) is None:
            return 0.0
        delay_s = self._denials.remaining_s(
            target.endpoint_id, reserved, self._clock()
        )
        if delay_s:
            return delay_s
        reply = await self._ask(target, reserved)
        if reply is None:
            self._gateways.refresh_soon()
            delay_s = _UNDECIDED_RETRY_S
        elif reply.verdict is permit_verdict.PermitVerdict.DENIED:
            delay_s = reply.retry_after_s
        if delay_s:
            now_s = self._clock()
            self._denials.add(
                target.endpoint_id, reserved, now_s + delay_s, now_s
            )
        return delay_s

    def denied_s(
        self, service_name: ids.ServiceName, reserved: float
    ) -> dict[ids.EndpointId, float]:
        """Returns for which endpoints permits are denied.

        Args:
            service_name: Service of the endpoints.
            reserved: Permits to leave for more important requests.

        Returns:
            Time until a permit may be available by endpoint, in seconds.
        """
        now_s = self._clock()
        if not self._denials.remove_ended(now_s):
            return {}
        delays_s = {
            candidate.endpoint_id: self._denials.remaining_s(
                candidate.endpoint_id, reserved, now_s
            )
            for candidate in self._endpoints.ready_endpoints(service_name)
            if self._limits.rate_of(candidate) is not None
        }
        return {name: delay_s for name, delay_s in delays_s.items() if delay_s}

    def total_rate_per_s(self, targets: Iterable[endpoint.Endpoint]) -> float:
        """Returns the sum of the limits of endpoints that have one."""
        return sum(self._limits.rate_of(target) or 0.0 for target in targets)

    async def _ask(
        self, target: endpoint.Endpoint, reserved: float
    ) -> permit_reply.PermitReply | None:
        """Asks the coordinator, then its fallback; None if neither decides."""
        latest = self._limits.latest(target)
        if latest is None:
            # The endpoint has gone meanwhile.
            return None
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
                sender=self._caller.own,
            )
            reply = await self._caller.ask(coordinator, request)
            if (
                reply is not None
                and reply.verdict
                is not permit_verdict.PermitVerdict.NOT_RESPONSIBLE
            ):
                self._limits.merge(
                    target,
                    limit_statement.LimitStatement(
                        reply.rate_per_s,
                        self._clock() - max(reply.statement_age_s, 0.0),
                    ),
                )
                return reply
        return None
