"""Subset of each pool's endpoints that a gateway may connect to."""

from collections.abc import Iterable

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.settings import gateway

_REMOTE_REGION_DIVISOR = 4


class EndpointSubset:
    """Bounds a gateway's connections independently of the fleet size.

    Each gateway selects a configured number of endpoints in its own region
    and a quarter as many in each other region. Rendezvous hashing of gateway
    and endpoint ids spreads the gateways evenly over the endpoints, and a
    change of one endpoint affects few other selections. If a region has no
    more endpoints of a pool than that, all of them are selected.
    """

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        members: directory.MemberDirectory,
    ) -> None:
        self._settings = settings
        self._members = members
        self._selected: dict[ids.PoolName, tuple[member.Member, ...]] = {}
        self._selected_at_change = -1

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Returns the sidecars of the endpoints selected from a pool."""
        if self._selected_at_change != self._members.change_count:
            self._selected.clear()
            self._selected_at_change = self._members.change_count
        if pool not in self._selected:
            self._selected[pool] = self._select(
                self._members.endpoints_of(pool)
            )
        return self._selected[pool]

    def _select(
        self, endpoints: Iterable[member.Member]
    ) -> tuple[member.Member, ...]:
        regions: dict[ids.RegionName, list[member.Member]] = {}
        for record in endpoints:
            regions.setdefault(record.region, []).append(record)
        selected: list[member.Member] = []
        for region, group in sorted(regions.items()):
            ordered = rendezvous.ranked(
                group, _endpoint_of, self._settings.vm_id
            )
            selected += ordered[: self._limit_of(region)]
        return tuple(selected)

    def _limit_of(self, region: ids.RegionName) -> int:
        limit = self._settings.endpoints_per_pool
        if region == self._settings.region:
            return limit
        return max(limit // _REMOTE_REGION_DIVISOR, 1)


def _endpoint_of(record: member.Member) -> str:
    return record.endpoint_id or record.vm_id
