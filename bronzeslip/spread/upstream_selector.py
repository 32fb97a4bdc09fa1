"""Selection of the relays that a process follows."""

from collections.abc import Sequence

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.settings import common

WATCHERS_PER_DOMAIN = 2
GATEWAYS_PER_RELAY = 3
_MAX_REMOTE_RELAYS = 4


class UpstreamSelector:
    """Lists the gateways that a process may follow, in order of preference.

    The gateways of a failure domain are ranked by a hash of their VM id. The
    highest-ranked ones watch the platform. Every other gateway follows only
    higher-ranked gateways, so that the relays never form a cycle, and derives
    its preferred relay from its rank, so that no relay has many followers.
    """

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        members: directory.MemberDirectory,
    ) -> None:
        """Creates a selector for one process.

        Args:
            settings: VM id, failure domain, region and seed peers.
            role: Role of the process.
            members: Known members.
        """
        self._settings = settings
        self._role = role
        self._members = members
        self._higher_ranked: list[member.Member] = []
        self._ranked_at_change = -1

    def is_watcher(self) -> bool:
        """Returns whether this process is selected to watch the platform."""
        if self._role is not member.MemberRole.GATEWAY:
            return False
        higher_ranked = self._higher_ranked_gateways()
        return len(higher_ranked) < WATCHERS_PER_DOMAIN

    def candidates(self) -> list[str]:
        """Returns the addresses of relays in order of preference."""
        local = self._local_candidates()
        remote = self._remote_candidates()
        addresses = [gateway.address for gateway in (*local, *remote)]
        addresses.extend(self._settings.seed_peers)
        return list(dict.fromkeys(addresses))

    def _local_candidates(self) -> list[member.Member]:
        if self._role is not member.MemberRole.GATEWAY:
            local_gateways = self._serving_gateways(
                self._settings.failure_domain
            )
            return rendezvous.ranked(
                local_gateways, _vm_id_of, self._settings.vm_id
            )
        higher_ranked = self._higher_ranked_gateways()
        if self.is_watcher():
            return list(higher_ranked)
        parent = higher_ranked[
            (len(higher_ranked) - WATCHERS_PER_DOMAIN) // GATEWAYS_PER_RELAY
        ]
        others = [gateway for gateway in higher_ranked if gateway is not parent]
        return [
            parent,
            *rendezvous.ranked(others, _vm_id_of, self._settings.vm_id),
        ]

    def _remote_candidates(self) -> list[member.Member]:
        """Returns gateways of other failure domains, the same region first.

        A gateway that follows relays of its own failure domain needs none:
        if all of them fail, it watches the platform.
        """
        if self._role is member.MemberRole.GATEWAY and not self.is_watcher():
            return []
        own_domain = self._settings.failure_domain
        region_by_domain = {
            gateway.failure_domain: gateway.region
            for gateway in self._members.gateways()
            if gateway.failure_domain != own_domain
        }
        ordered_domains = sorted(
            region_by_domain,
            key=lambda name: (
                region_by_domain[name] != self._settings.region,
                rendezvous.weight_of(name, self._settings.vm_id),
            ),
        )
        watcher_groups = [
            select_watchers(self._serving_gateways(name))
            for name in ordered_domains
        ]
        return [gateway for group in watcher_groups for gateway in group][
            :_MAX_REMOTE_RELAYS
        ]

    def _higher_ranked_gateways(self) -> list[member.Member]:
        """Returns the gateways ranked above this process, highest first."""
        if self._ranked_at_change != self._members.change_count:
            self._ranked_at_change = self._members.change_count
            self._higher_ranked = self._compute_higher_ranked()
        return self._higher_ranked

    def _compute_higher_ranked(self) -> list[member.Member]:
        own_weight = rendezvous.weight_of(self._settings.vm_id)
        return [
            gateway
            for gateway in rendezvous.ranked(
                self._serving_gateways(self._settings.failure_domain), _vm_id_of
            )
            if rendezvous.weight_of(gateway.vm_id) > own_weight
        ]

    def _serving_gateways(
        self, failure_domain: ids.FailureDomainName
    ) -> list[member.Member]:
        return [
            gateway
            for gateway in self._members.gateways()
            if gateway.failure_domain == failure_domain
            and gateway.state is member.MemberState.SERVING
            and gateway.vm_id != self._settings.vm_id
        ]


def select_watchers(gateways: Sequence[member.Member]) -> list[member.Member]:
    """Returns the gateways of a failure domain that watch the platform."""
    return rendezvous.ranked(gateways, _vm_id_of)[:WATCHERS_PER_DOMAIN]


def _vm_id_of(gateway: member.Member) -> str:
    return gateway.vm_id
