"""The endpoints of each service that one gateway reads and chooses from."""

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.membership import rendezvous
from bronzeslip.settings import entry


class WatchedEndpoints:
    """Bounds what a gateway reads, whatever the size of the fleet.

    Half of the endpoints are of the gateway's own region. They are chosen by
    the hash of both ids, so that gateways spread evenly over endpoints and a
    change of one endpoint moves few others. A service that is no larger than
    the bound is taken whole.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        vm_place: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
    ) -> None:
        """Creates a share.

        Args:
            settings: Number of endpoints of a service.
            vm_place: Place of this gateway.
            endpoints: Endpoints.
        """
        self._settings = settings
        self._vm_place = vm_place
        self._endpoints = endpoints
        self._selected: dict[
            tuple[endpoint.Endpoint, ...], tuple[endpoint.Endpoint, ...]
        ] = {}

    def for_service(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Lists the ready endpoints of a service that are this gateway's."""
        ready = self._endpoints.ready_endpoints(service_name)
        if len(ready) <= self._settings.watched_endpoints:
            return ready
        if ready not in self._selected:
            self._selected = {ready: self._select(ready)}
        return self._selected[ready]

    def _select(
        self, ready: tuple[endpoint.Endpoint, ...]
    ) -> tuple[endpoint.Endpoint, ...]:
        ordered = rendezvous.ranked(
            ready, lambda candidate: candidate.endpoint_id, self._vm_place.vm_id
        )
        limit = self._settings.watched_endpoints
        same_region = [
            candidate
            for candidate in ordered
            if self._is_same_region(candidate)
        ]
        same_region = same_region[: limit // 2]
        other_regions = [
            candidate
            for candidate in ordered
            if not self._is_same_region(candidate)
        ]
        return (*same_region, *other_regions[: limit - len(same_region)])

    def _is_same_region(self, candidate: endpoint.Endpoint) -> bool:
        return self._vm_place.is_in_region(candidate.failure_domain)
