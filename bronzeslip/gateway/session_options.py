"""Endpoints that one request may still be sent to."""

from bronzeslip import ids
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import request_context
from bronzeslip.gateway import suspicion
from bronzeslip.membership import member
from bronzeslip.routing import candidate
from bronzeslip.routing import policy
from bronzeslip.routing import router
from bronzeslip.settings import gateway


class SessionOptions:
    """Ranks endpoints, those that were tried or fail last."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        routes: router.Router,
        peers: peer_pool.PeerPool,
        context: request_context.RequestContext,
        wanted: generation_input.GenerationInput,
        suspected: suspicion.Suspicion,
    ) -> None:
        """Creates options.

        Args:
            settings: Region of the gateway.
            routes: Ranks endpoints.
            peers: Connections to sidecars.
            context: The request.
            wanted: The generation that it asks for.
            suspected: Whether the request may have crashed endpoints.
        """
        self._routes = routes
        self._peers = peers
        self._binding = context.binding
        self._suspicion = suspected
        self._tried: set[ids.EndpointId] = set()
        self._request = policy.RoutingRequest(
            context.workspace_id,
            context.service_name,
            wanted.prompt,
            settings.region,
        )

    def ranked(self) -> list[candidate.Candidate]:
        """Lists all endpoints, the best one first.

        Raises:
            routing_errors.RoutingError: If there is none.
        """
        return self._routes.candidates(self._binding, self._request)

    def candidates(self) -> list[candidate.Candidate]:
        """Lists the endpoints not tried yet, or all if all were tried.

        A suspect request goes where little work would be lost with it.

        Raises:
            routing_errors.RoutingError: If there is none.
        """
        options = self.ranked()
        fresh = [
            option
            for option in options
            if option.endpoint.endpoint_id not in self._tried
        ]
        if self._suspicion.is_suspect:
            fresh.sort(key=_work_of)
        return sorted(
            fresh or options,
            key=lambda option: self._peers.is_failing(option.endpoint.address),
        )

    def note_tried(self, endpoint: member.Member) -> None:
        """Notes that an endpoint is asked now."""
        self._tried.add(endpoint.endpoint_id)
        self._routes.record_accepted(self._request, endpoint.endpoint_id)


def _work_of(option: candidate.Candidate) -> int:
    return option.outstanding + option.load.running + option.load.queued
