"""Acquires permits for requests to cold endpoints."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.quota import coordinators
from bronzeslip.quota import denials
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_request
from bronzeslip.quota import permit_verdict

# Time until the next attempt if no coordinator could decide.
_UNDECIDED_RETRY_S = 1.0


class ColdPermits:
    """Asks the coordinator of a cold endpoint for a permit for each request.

    Without a reply of it or its fallback, nothing is sent to the endpoint.
    """

    def __init__(
        self,
        gateways: coordinators.Coordinators,
        caller: peer_caller.PeerCaller,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the permits of one gateway.

        Args:
            gateways: Ranks the coordinators of an endpoint.
            caller: Calls the coordinators.
            clock: Monotonic clock, in seconds.
        """
        self._gateways = gateways
        self._caller = caller
        self._clock = clock
        self._denials = denials.Denials()

    def denied_s(self, endpoint_id: ids.EndpointId, reserved: float) -> float:
        """Returns how long not to ask for a permit, in seconds."""
        return self._denials.remaining_s(endpoint_id, reserved, self._clock())

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes an endpoint that is gone."""
        self._denials.remove(endpoint_id)

    async def acquire(
        self, target: endpoint.Endpoint, cold_per_s: float, reserved: float
    ) -> float:
        """Acquires a permit to send one request to a cold endpoint.

        Args:
            target: The endpoint.
            cold_per_s: Its limit, in requests per second.
            reserved: Permits to leave for more important requests.

        Returns:
            0 if the request may be sent, otherwise the time after which a
            permit may be available, in seconds.
        """
        delay_s = await self._ask(target, cold_per_s, reserved)
        if delay_s:
            now_s = self._clock()
            self._denials.add(
                target.endpoint_id, reserved, now_s + delay_s, now_s
            )
        return delay_s

    async def _ask(
        self, target: endpoint.Endpoint, cold_per_s: float, reserved: float
    ) -> float:
        ranked = self._gateways.ranked(target.endpoint_id)
        for index, coordinator in enumerate(ranked):
            request = permit_request.PermitRequest(
                target.endpoint_id,
                target.address,
                target.started_unix_ms,
                cold_per_s,
                statement_age_s=0.0,
                reserved=reserved,
                is_fallback=index > 0,
                sender=self._caller.own,
                is_cold=True,
            )
            reply = await self._caller.ask(coordinator, request)
            if reply is None:
                continue
            if reply.verdict is permit_verdict.PermitVerdict.GRANTED:
                return 0.0
            if reply.verdict is permit_verdict.PermitVerdict.DENIED:
                return reply.retry_after_s or _UNDECIDED_RETRY_S
        self._gateways.refresh_soon()
        return _UNDECIDED_RETRY_S
