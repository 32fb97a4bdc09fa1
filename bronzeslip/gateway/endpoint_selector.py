"""Selection of endpoints for the attempts of one request."""

from bronzeslip import ids
from bronzeslip.gateway import crash_history
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import policy
from bronzeslip.routing import router
from bronzeslip.settings import gateway


class EndpointSelector:
    """Ranks endpoints and tracks which of them were tried."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        endpoint_router: router.Router,
        peers: peer_pool.PeerPool,
        context: request_context.RequestContext,
        generation: generation_input.GenerationInput,
        crashes: crash_history.CrashHistory,
    ) -> None:
        """Creates the selector of one request.

        Args:
            settings: Settings of the gateway, of which the region is used.
            endpoint_router: Ranks endpoints.
            peers: Connections to sidecars.
            context: The request.
            generation: Input of the generation.
            crashes: Endpoint crashes during the request.
        """
        self._router = endpoint_router
        self._peers = peers
        self._binding = context.binding
        self._crash_history = crashes
        self._attempted: set[ids.EndpointId] = set()
        self._request = policy.RoutingRequest(
            context.workspace_id,
            context.service_name,
            generation.prompt,
            settings.region,
        )

    def ranked(self) -> list[candidate.Candidate]:
        """Returns all endpoints, best first.

        Raises:
            routing_errors.RoutingError: If no endpoint is available.
        """
        return self._router.candidates(self._binding, self._request)

    def candidates(self) -> list[candidate.Candidate]:
        """Returns the endpoints not tried yet, or all if all were tried.

        Endpoints with failing connections come last. A suspect request is sent
        to the endpoint with the least work, as a crash would lose that work.

        Raises:
            routing_errors.RoutingError: If no endpoint is available.
        """
        ranked = self.ranked()
        untried = [
            option
            for option in ranked
            if option.endpoint.endpoint_id not in self._attempted
        ]
        if self._crash_history.is_suspect:
            untried.sort(key=_pending_work)
        return sorted(
            untried or ranked,
            key=lambda option: self._peers.is_failing(option.endpoint.address),
        )

    def record_attempt(self, endpoint: member.Member) -> None:
        """Records that the request is sent to an endpoint."""
        self._attempted.add(endpoint.endpoint_id)
        self._router.record_accepted(self._request, endpoint.endpoint_id)


def _pending_work(option: candidate.Candidate) -> int:
    return option.outstanding + option.load.running + option.load.queued
