"""Decides which endpoints a request with allowed regions may reach."""

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config


class PermittedRegionsFilter:
    """Tells whether endpoints are in the allowed regions of a request.

    Requests are restricted by where endpoints are, not by where gateways are.
    """

    def __init__(self, this_vm: vm_config.VmConfig) -> None:
        """Creates a filter.

        Args:
            this_vm: Configuration with the region of each failure domain.
        """
        self._regions = this_vm.regions

    def is_eligible(
        self,
        candidate: endpoint.Endpoint,
        permitted_regions: frozenset[ids.RegionName] | None,
    ) -> bool:
        """Returns whether an endpoint is in one of the allowed regions.

        An endpoint whose failure domain has no known region is in none.

        Args:
            candidate: The endpoint.
            permitted_regions: Regions that a request may be sent to, or None if
                it may be sent anywhere.
        """
        if permitted_regions is None:
            return True
        return self._regions.get(candidate.failure_domain) in permitted_regions


def intersect(
    *restrictions: frozenset[ids.RegionName] | None,
) -> frozenset[ids.RegionName] | None:
    """Returns the regions that all restrictions allow, or None for anywhere."""
    stated = [regions for regions in restrictions if regions is not None]
    return frozenset.intersection(*stated) if stated else None
