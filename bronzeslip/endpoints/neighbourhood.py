"""Which endpoints are near each other."""

import asyncio

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config

# Time after its notice in which an engine that leaves copies its runs; spot
# engines end some two seconds after it.
_EVACUATION_S = 2.5


class Neighbourhood:
    """Tells which engines can copy a run to each other quickly.

    Copies inside a region take the time that the engines' links give;
    between regions they were measured to take some ten times as long, and
    hold up the copies that wait for the same links.
    """

    def __init__(
        self, here: vm_config.VmConfig, known: directory.EndpointDirectory
    ) -> None:
        """Creates a neighbourhood.

        Args:
            here: Tells the regions of failure domains.
            known: Endpoints.
        """
        self._here = here
        self._known = known
        self._left: dict[ids.EndpointId, float] = {}
        self._leaving: dict[ids.EndpointId, endpoint.Endpoint] = {}
        known.add_leaving_listener(self._on_leaving)

    def is_evacuating(self, known: endpoint.Endpoint) -> bool:
        """Tells whether an endpoint near one copies its runs away now."""
        bound_s = asyncio.get_running_loop().time() - _EVACUATION_S
        return any(
            self._left[leaving.endpoint_id] > bound_s
            and leaving.endpoint_id != known.endpoint_id
            and self.is_near(leaving, known)
            for leaving in self._leaving.values()
        )

    def has_ended(self, known: endpoint.Endpoint) -> None:
        """Notes that an endpoint that was leaving is gone."""
        self._left.pop(known.endpoint_id, None)
        self._leaving.pop(known.endpoint_id, None)

    def is_near(self, one: endpoint.Endpoint, other: endpoint.Endpoint) -> bool:
        """Tells whether two endpoints stand in one region."""
        if one.failure_domain == other.failure_domain:
            return True
        region = self._here.regions.get(one.failure_domain)
        return (
            region is not None
            and self._here.regions.get(other.failure_domain) == region
        )

    def around(self, known: endpoint.Endpoint) -> tuple[endpoint.Endpoint, ...]:
        """Lists the ready endpoints of the service near one, itself too."""
        return tuple(
            option
            for option in self._known.ready_of(known.service_name)
            if self.is_near(option, known)
        )

    def has_neighbour(self, known: endpoint.Endpoint) -> bool:
        """Tells whether another ready endpoint of the service is near."""
        return any(
            option.endpoint_id != known.endpoint_id
            for option in self.around(known)
        )

    def _on_leaving(self, leaving: endpoint.Endpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        for endpoint_id, left_s in list(self._left.items()):
            if left_s < now_s - _EVACUATION_S:
                del self._left[endpoint_id]
                del self._leaving[endpoint_id]
        self._left[leaving.endpoint_id] = now_s
        self._leaving[leaving.endpoint_id] = leaving
