"""Processes of a fleet, their failure domains and the network delays."""

import dataclasses

from bronzeslip import ids
from bronzeslip.membership import member

WITHIN_DOMAIN_DELAY_S = 0.000_3
BETWEEN_DOMAINS_DELAY_S = 0.001_5
BETWEEN_REGIONS_DELAY_S = 0.012
PLATFORM_DELAY_S = 0.005
PROCESSING_DELAY_S = 0.015
HEADER_BYTES = 54


@dataclasses.dataclass(frozen=True)
class FleetTopology:
    """Number of regions, failure domains and processes of a fleet.

    Attributes:
        regions: Number of regions.
        domains: Number of failure domains in all regions.
        gateways: Number of gateways in all failure domains.
        sidecars: Number of sidecars in all failure domains.
    """

    regions: int
    domains: int
    gateways: int
    sidecars: int

    @property
    def process_count(self) -> int:
        """Total number of processes."""
        return self.gateways + self.sidecars


CURRENT_TOPOLOGY = FleetTopology(3, 3, 3, 10)
TOPOLOGIES = (
    CURRENT_TOPOLOGY,
    FleetTopology(4, 13, 39, 429),
    FleetTopology(4, 13, 130, 1_430),
    FleetTopology(4, 13, 380, 4_300),
)


def members_of(topology: FleetTopology) -> list[member.Member]:
    """Returns the processes of a fleet as members."""
    roles = [member.MemberRole.GATEWAY] * topology.gateways
    roles += [member.MemberRole.SIDECAR] * topology.sidecars
    return [
        _create_member(topology, index, role)
        for index, role in enumerate(roles)
    ]


def delay_s(left: member.Member, right: member.Member) -> float:
    """Returns the one-way delay between two processes, in seconds."""
    if left.failure_domain == right.failure_domain:
        return WITHIN_DOMAIN_DELAY_S
    if left.region == right.region:
        return BETWEEN_DOMAINS_DELAY_S
    return BETWEEN_REGIONS_DELAY_S


def _create_member(
    topology: FleetTopology, index: int, role: member.MemberRole
) -> member.Member:
    domain = index % topology.domains
    name = f"vm-{index}"
    return member.Member(
        vm_id=ids.VmId(name),
        incarnation_id=ids.IncarnationId("1"),
        role=role,
        region=ids.RegionName(f"region-{domain % topology.regions}"),
        failure_domain=ids.FailureDomainName(f"domain-{domain}"),
        address=name,
    )
