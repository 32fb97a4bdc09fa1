"""Subset of the endpoints of each service that a gateway watches."""

from collections.abc import Sequence

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.membership import rendezvous
from bronzeslip.routes import current
from bronzeslip.settings import entry

# A restricted request has a second endpoint if the first one fails.
_MIN_PER_NAMED_REGION = 2


class _Selection(msgspec.Struct, frozen=True):
    """Selected endpoints of a service and what they were selected from.

    Attributes:
        ready: Ready endpoints of the service.
        named_regions: Regions that its requests are restricted to.
        selected: Endpoints to watch.
    """

    ready: tuple[endpoint.Endpoint, ...]
    named_regions: frozenset[ids.RegionName]
    selected: tuple[endpoint.Endpoint, ...]

    def is_of(
        self,
        ready: tuple[endpoint.Endpoint, ...],
        named_regions: frozenset[ids.RegionName],
    ) -> bool:
        """Returns whether nothing has changed since the selection.

        The directory returns the same tuple until a change, which is faster to
        recognize than equal endpoints.
        """
        if self.named_regions != named_regions:
            return False
        return self.ready is ready or self.ready == ready


class WatchedEndpoints:
    """Selects a bounded subset of endpoints, independent of the fleet size.

    The gateway polls the reports of these endpoints and routes requests to
    them. Up to half of them are in its own region. They are selected by
    rendezvous hashing of gateway and endpoint ids, so that gateways are
    distributed evenly over endpoints and a change of one endpoint affects few
    others. A service with no more endpoints than the limit is watched
    completely.

    If the configuration restricts requests to regions, the selection has some
    endpoints of each of these regions. They take the places of others, so that
    it grows only if the regions need more places than the limit.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
        current_table: current.CurrentTable,
    ) -> None:
        """Creates the selection of one gateway.

        Args:
            settings: Maximum number of watched endpoints per service.
            this_vm: Location of this gateway and region of each failure domain.
            endpoints: Directory of endpoints.
            current_table: Configuration that may restrict regions.
        """
        self._settings = settings
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._current_table = current_table
        self._selections: dict[ids.ServiceName, _Selection] = {}

    def for_service(
        self, service_name: ids.ServiceName
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the ready endpoints of a service that are watched."""
        ready = self._endpoints.ready_endpoints(service_name)
        if len(ready) <= self._settings.watched_endpoints:
            return ready
        named_regions = self._named_regions(service_name)
        latest = self._selections.get(service_name)
        if latest is None or not latest.is_of(ready, named_regions):
            latest = _Selection(
                ready, named_regions, self._select(ready, named_regions)
            )
            self._selections[service_name] = latest
        return latest.selected

    def _named_regions(
        self, service_name: ids.ServiceName
    ) -> frozenset[ids.RegionName]:
        table = self._current_table.table
        return (
            frozenset() if table is None else table.named_regions(service_name)
        )

    def _select(
        self,
        ready: tuple[endpoint.Endpoint, ...],
        named_regions: frozenset[ids.RegionName],
    ) -> tuple[endpoint.Endpoint, ...]:
        ordered = rendezvous.ranked(
            ready, lambda candidate: candidate.endpoint_id, self._this_vm.vm_id
        )
        limit = self._settings.watched_endpoints
        required = self._required(ordered, named_regions)
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
        selected = [
            *same_region,
            *other_regions[: limit - len(same_region)],
        ]
        missing = [
            candidate for candidate in required if candidate not in selected
        ]
        # The last ones are those of other regions with the lowest rank.
        for candidate in reversed(tuple(selected)):
            if len(selected) + len(missing) <= limit:
                break
            if candidate not in required:
                selected.remove(candidate)
        return (*selected, *missing)

    def _required(
        self,
        ordered: Sequence[endpoint.Endpoint],
        named_regions: frozenset[ids.RegionName],
    ) -> list[endpoint.Endpoint]:
        """Returns the endpoints that the named regions need at least."""
        required: list[endpoint.Endpoint] = []
        for region in sorted(named_regions):
            in_region = [
                candidate
                for candidate in ordered
                if self._this_vm.regions.get(candidate.failure_domain) == region
            ]
            required += in_region[:_MIN_PER_NAMED_REGION]
        return required

    def _is_same_region(self, candidate: endpoint.Endpoint) -> bool:
        return self._this_vm.is_in_region(candidate.failure_domain)
