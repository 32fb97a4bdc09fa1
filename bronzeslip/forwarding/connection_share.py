"""This gateway's share of the connections that an endpoint takes."""

import math

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.forwarding import gateway_count
from bronzeslip.routes import service
from bronzeslip.settings import entry

# Reports and copies of runs go over connections of their own.
_CONTROL_CONNECTIONS = 2


class ConnectionShare:
    """Keeps the gateways together below the limit of an endpoint.

    An endpoint resets connections beyond its limit, and a request on such a
    connection may have run. Every gateway uses `watched_endpoints` of a
    service, so the gateways of one endpoint are as many as all gateways spread
    evenly over these.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        endpoints: directory.EndpointDirectory,
        in_flight: in_flight_requests.InFlightRequests,
        gateways: gateway_count.GatewayCount,
    ) -> None:
        """Creates a share.

        Args:
            settings: Number of endpoints that a gateway uses.
            endpoints: Endpoints.
            in_flight: Requests under way, each on a connection of its own.
            gateways: Tells how many gateways there are.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._gateways = gateways

    def has_free_connection(
        self, candidate: endpoint.Endpoint, target_service: service.Service
    ) -> bool:
        """Tells whether one more request may be sent to an endpoint."""
        return self._in_flight.count(candidate.endpoint_id) < self.limit(
            target_service
        )

    def limit(self, target_service: service.Service) -> int:
        """Returns the requests that may be under way at one endpoint.

        Until the gateways are counted it is the whole limit: a share of too
        high a number would refuse callers after each start.
        """
        if not self._gateways.is_known:
            return target_service.max_connections
        endpoint_count = max(
            len(self._endpoints.ready_endpoints(target_service.name)), 1
        )
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
