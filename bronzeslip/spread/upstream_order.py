"""Choice of the relays that a process follows."""

from collections.abc import Sequence

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.settings import common

WATCHERS_PER_DOMAIN = 2
GATEWAYS_PER_RELAY = 3
_MAX_DISTANT_RELAYS = 4


class UpstreamOrder:
    """Orders the gateways that a process may follow, the best first.

    Gateways of a failure domain are ranked by the hash of their VM id. The
    first few watch the platform. Any other follows only a gateway ranked
    above itself, so that no two ever wait for each other, and by its rank
    chooses one that few others choose.
    """

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        members: directory.MemberDirectory,
    ) -> None:
        """Creates the order for one process.

        Args:
            settings: VM id, failure domain, region and seed peers.
            role: Program that the process runs.
            members: Known members.
        """
        self._settings = settings
        self._role = role
        self._members = members
        self._above: list[member.Member] = []
        self._above_at_change = -1

    def watches(self) -> bool:
        """Tells whether this process watches the platform."""
        if self._role is not member.MemberRole.GATEWAY:
            return False
        above = self._gateways_above()
        return len(above) < WATCHERS_PER_DOMAIN

    def candidates(self) -> list[str]:
        """Lists the addresses of relays to follow, the best first."""
        near = self._near()
        distant = self._distant()
        addresses = [known.address for known in (*near, *distant)]
        addresses.extend(self._settings.seed_peers)
        return list(dict.fromkeys(addresses))

    def _near(self) -> list[member.Member]:
        if self._role is not member.MemberRole.GATEWAY:
            own = self._gateways_of(self._settings.failure_domain)
            return rendezvous.ranked(own, _name_of, self._settings.vm_id)
        above = self._gateways_above()
        if self.watches():
            return list(above)
        parent = above[(len(above) - WATCHERS_PER_DOMAIN) // GATEWAYS_PER_RELAY]
        others = [known for known in above if known is not parent]
        return [
            parent,
            *rendezvous.ranked(others, _name_of, self._settings.vm_id),
        ]

    def _distant(self) -> list[member.Member]:
        """Lists gateways elsewhere, those of the same region first.

        A gateway that follows relays of its own failure domain needs none:
        if all of them fail it watches the platform.
        """
        if self._role is member.MemberRole.GATEWAY and not self.watches():
            return []
        own_domain = self._settings.failure_domain
        domains = {
            known.failure_domain: known.region
            for known in self._members.gateways()
            if known.failure_domain != own_domain
        }
        ordered = sorted(
            domains,
            key=lambda name: (
                domains[name] != self._settings.region,
                rendezvous.weight_of(name, self._settings.vm_id),
            ),
        )
        found = [watchers_of(self._gateways_of(name)) for name in ordered]
        return [known for group in found for known in group][
            :_MAX_DISTANT_RELAYS
        ]

    def _gateways_above(self) -> list[member.Member]:
        """Lists the gateways ranked above this process, the first first."""
        if self._above_at_change != self._members.change_count:
            self._above_at_change = self._members.change_count
            self._above = self._rank_above()
        return self._above

    def _rank_above(self) -> list[member.Member]:
        own = rendezvous.weight_of(self._settings.vm_id)
        return [
            known
            for known in rendezvous.ranked(
                self._gateways_of(self._settings.failure_domain), _name_of
            )
            if rendezvous.weight_of(known.vm_id) > own
        ]

    def _gateways_of(
        self, failure_domain: ids.FailureDomainName
    ) -> list[member.Member]:
        return [
            known
            for known in self._members.gateways()
            if known.failure_domain == failure_domain
            and known.state is member.MemberState.SERVING
            and known.vm_id != self._settings.vm_id
        ]


def watchers_of(gateways: Sequence[member.Member]) -> list[member.Member]:
    """Lists the gateways of a failure domain that watch the platform."""
    return rendezvous.ranked(gateways, _name_of)[:WATCHERS_PER_DOMAIN]


def _name_of(known: member.Member) -> str:
    return known.vm_id
