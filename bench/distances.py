"""One-way delays between places."""

import dataclasses

from bronzeslip import ids


@dataclasses.dataclass(frozen=True)
class Distances:
    """Delays of one user's deployment, in seconds."""

    within_region_s: float
    between_regions_s: float
    to_caller_s: float

    def between(self, one: ids.RegionName, other: ids.RegionName) -> float:
        """Returns the one-way delay between two VMs, in seconds."""
        return self.within_region_s if one == other else self.between_regions_s


DISTANCES = {
    "midlands": Distances(0.0009, 0.012, 0.003),
    "mongolia": Distances(0.0015, 0.012, 0.001),
}
