"""Engines that a gateway polls where placement is coordinated."""

from collections.abc import Iterable
import math

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.placement import coordination_duties
from bronzeslip.placement import coordinator_contact
from bronzeslip.placement import placement_gate

# A placement in the ledger hides for this time at most what an engine does
# with it. One gateway polls all engines of a shard, so this costs less than
# every gateway polling five engines each second.
_COORDINATOR_INTERVAL_S = 0.5


class PolledEngines:
    """Selects the engines to poll.

    The coordinator of a shard polls all of its engines. A gateway that is in
    contact with its coordinator polls only engines that run its own long
    generations. All others poll the endpoints that they watch.
    """

    def __init__(
        self,
        endpoints: directory.EndpointDirectory,
        watched: watched_endpoints.WatchedEndpoints,
        in_flight: in_flight_requests.InFlightRequests,
        gate: placement_gate.PlacementGate,
        duties: coordination_duties.CoordinationDuties,
        contact: coordinator_contact.CoordinatorContact,
    ) -> None:
        """Initializes the selection.

        Args:
            endpoints: Directory of the known endpoints.
            watched: Endpoints that this gateway polls without coordination.
            in_flight: Requests of this gateway in flight at each endpoint.
            gate: Decides which services are coordinated.
            duties: Shards that this gateway coordinates.
            contact: Whether coordinators reply to this gateway.
        """
        self._endpoints = endpoints
        self._watched = watched
        self._in_flight = in_flight
        self._gate = gate
        self._duties = duties
        self._contact = contact

    def for_service(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the engines of a service to poll."""
        if not self.is_coordinated(service_name):
            return self._watched.for_service(service_name)
        selected: dict[ids.EndpointId, endpoint.Endpoint] = {}
        if not self._contact.exists(service_name):
            for engine in self._watched.for_service(service_name):
                selected[engine.endpoint_id] = engine
        # Includes engines that don't respond, so that their return is noticed.
        for engine in self._endpoints.unpaused_endpoints(service_name):
            if self._duties.includes(
                engine
            ) or self._in_flight.has_long_request(engine.endpoint_id):
                selected[engine.endpoint_id] = engine
        return tuple(selected.values())

    def has_polling_coordinator(self, service_name: ids.ServiceName) -> bool:
        """Returns whether a coordinator polls the engines of a service."""
        return self.is_coordinated(service_name) and self._contact.exists(
            service_name
        )

    def relies_on_coordinators(
        self, service_names: Iterable[ids.ServiceName]
    ) -> bool:
        """Returns whether others place the generations of all services.

        The coordinators that do so reply, and this gateway is none of them.
        """
        names = tuple(service_names)
        return bool(names) and all(
            self.has_polling_coordinator(name)
            and not self._duties.has_shard_of(name)
            for name in names
        )

    def is_coordinated(self, service_name: ids.ServiceName) -> bool:
        """Returns whether the generations of a service are coordinated."""
        return self._gate.is_coordinated(service_name)

    def interval_s(self, engine: endpoint.Endpoint) -> float:
        """Returns the longest time between polls, in seconds, or infinity."""
        if self._duties.is_active(engine):
            return _COORDINATOR_INTERVAL_S
        return math.inf
