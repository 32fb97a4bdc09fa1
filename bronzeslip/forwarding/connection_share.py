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
        known: directory.EndpointDirectory,
        own: in_flight_requests.InFlightRequests,
        gateways: gateway_count.GatewayCount,
    ) -> None:
        """Creates a share.

        Args:
            settings: Number of endpoints that a gateway uses.
            known: Endpoints.
            own: Requests under way, each on a connection of its own.
            gateways: Tells how many gateways there are.
        """
        self._settings = settings
        self._known = known
        self._own = own
        self._gateways = gateways

    def has_room(
        self, option: endpoint.Endpoint, wanted: service.Service
    ) -> bool:
        """Tells whether one more request may be sent to an endpoint."""
        return self._own.count(option.endpoint_id) < self.limit(wanted)

    def limit(self, wanted: service.Service) -> int:
        """Returns the requests that may be under way at one endpoint.

        Until the gateways are counted it is the whole limit: a share of too
        high a number would refuse callers after each start.
        """
        if not self._gateways.is_known:
            return wanted.max_connections
        endpoints = max(len(self._known.ready_endpoints(wanted.name)), 1)
        used = min(self._settings.watched_endpoints, endpoints)
        gateways = max(self._gateways.count * used / endpoints, 1.0)
        share = math.floor(wanted.max_connections / gateways)
        return max(share - _CONTROL_CONNECTIONS, 1)
