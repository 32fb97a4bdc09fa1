"""This gateway's share of the connections that an endpoint accepts."""

import math

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.forwarding import gateway_count
from bronzeslip.routes import service
from bronzeslip.settings import entry

# Reports and copies of runs use separate connections.
_CONTROL_CONNECTIONS = 2


class ConnectionShare:
    """Keeps all gateways together below the connection limit of an endpoint.

    An endpoint resets connections beyond its limit, and a request on such a
    connection may have run. Each gateway uses `watched_endpoints` endpoints of
    a service, and gateways are assumed to be spread evenly over all endpoints.
    A coordinator may name any endpoint, so that all gateways share its
    connections then.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        endpoints: directory.EndpointDirectory,
        in_flight: in_flight_requests.InFlightRequests,
        gateways: gateway_count.GatewayCount,
    ) -> None:
        """Initializes the share.

        Args:
            settings: Number of endpoints of a service that a gateway uses.
            endpoints: Directory of the known endpoints.
            in_flight: Requests in flight, each on a separate connection.
            gateways: Number of running gateways.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._gateways = gateways

    def has_free_connection(
        self,
        candidate: endpoint.Endpoint,
        target_service: service.Service,
        is_coordinated: bool = False,
    ) -> bool:
        """Returns whether one more request may be sent to an endpoint.

        Args:
            candidate: The endpoint.
            target_service: Service of the endpoint.
            is_coordinated: Whether the coordinator of the service chose it.
        """
        return self._in_flight.count(candidate.endpoint_id) < self.limit(
            target_service, is_coordinated
        )

    def exhausted_endpoints(
        self, target_service: service.Service
    ) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that a coordinator must not choose."""
        limit = self.limit(target_service, is_coordinated=True)
        return frozenset(
            endpoint_id
            for endpoint_id, count in self._in_flight.counts().items()
            if count >= limit
        )

    def limit(
        self, target_service: service.Service, is_coordinated: bool = False
    ) -> int:
        """Returns how many requests may be in flight at one endpoint.

        Until the gateways have been counted, this is the full limit of the
        endpoint. Their number is overestimated until then, and a share based
        on it would reject callers after each start.
        """
        if not self._gateways.is_known:
            return target_service.max_connections
        endpoint_count = max(
            len(self._endpoints.ready_endpoints(target_service.name)), 1
        )
        endpoints_per_gateway = endpoint_count
        if not is_coordinated:
            endpoints_per_gateway = min(
                self._settings.watched_endpoints, endpoint_count
            )
        gateways_per_endpoint = max(
            self._gateways.count * endpoints_per_gateway / endpoint_count, 1.0
        )
        connections = math.floor(
            target_service.max_connections / gateways_per_endpoint
        )
        return max(connections - _CONTROL_CONNECTIONS, 1)
