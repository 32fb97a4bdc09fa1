"""Proximity of endpoints by region."""

import asyncio

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config

# Time after its shutdown notice during which a leaving engine copies its runs;
# spot engines terminate about two seconds after the notice.
_EVACUATION_S = 2.5


class EndpointProximity:
    """Determines which engines can copy a run to each other quickly.

    Engines in the same region are neighbours. Copies within a region run at
    the bandwidth of the engines' links. Copies between regions take about ten
    times as long and delay other copies that wait for the same links.
    """

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
    ) -> None:
        """Creates the proximity of a set of endpoints.

        Args:
            this_vm: Location of this gateway and region of each failure domain.
            endpoints: Directory of endpoints.
        """
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._leaving_since_s: dict[ids.EndpointId, float] = {}
        self._leaving_endpoints: dict[ids.EndpointId, endpoint.Endpoint] = {}
        endpoints.add_leaving_listener(self._on_leaving)

    def is_neighbour_evacuating(self, target: endpoint.Endpoint) -> bool:
        """Returns whether another endpoint of the region is evacuating.

        An evacuating endpoint copies its runs to other endpoints before it
        terminates.
        """
        cutoff_s = asyncio.get_running_loop().time() - _EVACUATION_S
        return any(
            self._leaving_since_s[leaving.endpoint_id] > cutoff_s
            and leaving.endpoint_id != target.endpoint_id
            and self.is_same_region(leaving, target)
            for leaving in self._leaving_endpoints.values()
        )

    def remove(self, target: endpoint.Endpoint) -> None:
        """Removes a leaving endpoint that has terminated."""
        self._leaving_since_s.pop(target.endpoint_id, None)
        self._leaving_endpoints.pop(target.endpoint_id, None)

    def is_same_region(
        self, first: endpoint.Endpoint, second: endpoint.Endpoint
    ) -> bool:
        """Returns whether two endpoints are in the same region."""
        if first.failure_domain == second.failure_domain:
            return True
        region = self._this_vm.regions.get(first.failure_domain)
        return (
            region is not None
            and self._this_vm.regions.get(second.failure_domain) == region
        )

    def nearby_endpoints(
        self, target: endpoint.Endpoint
    ) -> tuple[endpoint.Endpoint, ...]:
        """Returns the ready endpoints of its service in the same region.

        The endpoint itself is included if it is ready.
        """
        return tuple(
            candidate
            for candidate in self._endpoints.ready_endpoints(
                target.service_name
            )
            if self.is_same_region(candidate, target)
        )

    def has_nearby_endpoint(self, target: endpoint.Endpoint) -> bool:
        """Returns whether its service has another ready endpoint nearby.

        Evacuated endpoints count, so that an evacuation alone does not start
        copies to other regions.
        """
        return any(
            candidate.endpoint_id != target.endpoint_id
            and self.is_same_region(candidate, target)
            for candidate in self._endpoints.ready_or_evacuated_endpoints(
                target.service_name
            )
        )

    def _on_leaving(self, leaving: endpoint.Endpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        for endpoint_id, since_s in list(self._leaving_since_s.items()):
            if since_s < now_s - _EVACUATION_S:
                del self._leaving_since_s[endpoint_id]
                del self._leaving_endpoints[endpoint_id]
        self._leaving_since_s[leaving.endpoint_id] = now_s
        self._leaving_endpoints[leaving.endpoint_id] = leaving
