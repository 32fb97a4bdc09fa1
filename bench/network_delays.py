"""One-way network delays of the users' deployments."""

import dataclasses

from bronzeslip import ids


@dataclasses.dataclass(frozen=True)
class NetworkDelays:
    """One-way delays of one deployment, in seconds.

    Attributes:
        within_region_s: Delay between VMs of the same region.
        between_regions_s: Delay between VMs of different regions.
        to_caller_s: Delay between a gateway and its callers.
    """

    within_region_s: float
    between_regions_s: float
    to_caller_s: float

    def one_way_s(
        self, source: ids.RegionName, destination: ids.RegionName
    ) -> float:
        """Returns the one-way delay between VMs of two regions, in seconds."""
        return (
            self.within_region_s
            if source == destination
            else self.between_regions_s
        )


DELAYS = {
    "midlands": NetworkDelays(0.0009, 0.012, 0.003),
    "mongolia": NetworkDelays(0.0015, 0.012, 0.001),
}
