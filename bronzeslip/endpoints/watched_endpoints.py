"""Subset of the endpoints of each service that a gateway watches."""

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.membership import rendezvous
from bronzeslip.settings import entry


class WatchedEndpoints:
    """Selects a bounded subset of endpoints, independent of the fleet size.

    The gateway polls the reports of these endpoints and routes requests to
    them. Up to half of them are in its own region. They are selected by
    rendezvous hashing of gateway and endpoint ids, so that gateways are
    distributed evenly over endpoints and a change of one endpoint affects few
    others. A service with no more endpoints than the limit is watched
    completely.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
    ) -> None:
        """Creates the selection of one gateway.

        Args:
            settings: Maximum number of watched endpoints per service.
            this_vm: Location of this gateway and region of each failure domain.
            endpoints: Directory of endpoints.
        """
        self._settings = settings
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._selected: dict[
            tuple[endpoint.Endpoint, ...], tuple[endpoint.Endpoint, ...]
        ] = {}

    def for_service(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the ready endpoints of a service that are watched."""
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
            ready, lambda candidate: candidate.endpoint_id, self._this_vm.vm_id
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
        return self._this_vm.is_in_region(candidate.failure_domain)
