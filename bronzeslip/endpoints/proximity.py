"""Which endpoints are near each other."""

import asyncio

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config

# Time after its notice in which an engine that leaves copies its runs; spot
# engines end some two seconds after it.
_EVACUATION_S = 2.5


class EndpointProximity:
    """Tells which engines can copy a run to each other quickly.

    Copies inside a region take the time that the engines' links give;
    between regions they were measured to take some ten times as long, and
    hold up the copies that wait for the same links.
    """

    def __init__(
        self,
        vm_place: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
    ) -> None:
        """Creates a neighbourhood.

        Args:
            vm_place: Tells the regions of failure domains.
            endpoints: Endpoints.
        """
        self._vm_place = vm_place
        self._endpoints = endpoints
        self._leaving_since_s: dict[ids.EndpointId, float] = {}
        self._leaving_endpoints: dict[ids.EndpointId, endpoint.Endpoint] = {}
        endpoints.add_leaving_listener(self._on_leaving)

    def is_neighbor_evacuating(self, target: endpoint.Endpoint) -> bool:
        """Tells whether an endpoint near one copies its runs away now."""
        cutoff_s = asyncio.get_running_loop().time() - _EVACUATION_S
        return any(
            self._leaving_since_s[leaving.endpoint_id] > cutoff_s
            and leaving.endpoint_id != target.endpoint_id
            and self.is_same_region(leaving, target)
            for leaving in self._leaving_endpoints.values()
        )

    def remove(self, target: endpoint.Endpoint) -> None:
        """Notes that an endpoint that was leaving is gone."""
        self._leaving_since_s.pop(target.endpoint_id, None)
        self._leaving_endpoints.pop(target.endpoint_id, None)

    def is_same_region(
        self, first: endpoint.Endpoint, second: endpoint.Endpoint
    ) -> bool:
        """Tells whether two endpoints stand in one region."""
        if first.failure_domain == second.failure_domain:
            return True
        region = self._vm_place.regions.get(first.failure_domain)
        return (
            region is not None
            and self._vm_place.regions.get(second.failure_domain) == region
        )

    def nearby_endpoints(
        self, target: endpoint.Endpoint
    ) -> tuple[endpoint.Endpoint, ...]:
        """Lists the ready endpoints of the service near one, itself too."""
        return tuple(
            candidate
            for candidate in self._endpoints.ready_endpoints(
                target.service_name
            )
            if self.is_same_region(candidate, target)
        )

    def has_nearby_endpoint(self, target: endpoint.Endpoint) -> bool:
        """Tells whether another ready endpoint of the service is near."""
        return any(
            candidate.endpoint_id != target.endpoint_id
            for candidate in self.nearby_endpoints(target)
        )

    def _on_leaving(self, leaving: endpoint.Endpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        for endpoint_id, since_s in list(self._leaving_since_s.items()):
            if since_s < now_s - _EVACUATION_S:
                del self._leaving_since_s[endpoint_id]
                del self._leaving_endpoints[endpoint_id]
        self._leaving_since_s[leaving.endpoint_id] = now_s
        self._leaving_endpoints[leaving.endpoint_id] = leaving
