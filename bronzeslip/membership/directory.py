"""The members that a process knows of."""

import msgspec

from bronzeslip import ids
from bronzeslip.membership import member
from bronzeslip.store import objects


class MemberDirectory:
    """Members by key, kept up to date by a follower of their prefix."""

    def __init__(self) -> None:
        self._members: dict[ids.ObjectKey, member.Member] = {}
        self._change_count = 0
        self._gateways: dict[ids.ObjectKey, member.Member] = {}
        self._pools: dict[ids.PoolName, dict[ids.ObjectKey, member.Member]] = {}

    @property
    def change_count(self) -> int:
        """Counts the changes, for those who keep what they have derived."""
        return self._change_count

    def members(self) -> tuple[member.Member, ...]:
        """Lists every known member."""
        return tuple(self._members.values())

    def gateways(self) -> tuple[member.Member, ...]:
        """Lists the known gateways, whatever their state."""
        return tuple(self._gateways.values())

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Lists the sidecars before a pool's endpoints."""
        return tuple(
            known
            for known in self._pools.get(pool, {}).values()
            if known.state is member.MemberState.SERVING
        )

    def endpoint(self, endpoint_id: ids.EndpointId) -> member.Member | None:
        """Finds the sidecar before an endpoint."""
        key = f"{member.MEMBERS_PREFIX}{member.MemberRole.SIDECAR.value}/"
        return self._members.get(ids.ObjectKey(key + endpoint_id))

    def put(self, known: member.Member) -> None:
        """Adds or replaces a member."""
        self._put(member.key_of(known), known)

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Takes the whole state of the prefix."""
        self._change_count += 1
        self._members.clear()
        self._gateways.clear()
        self._pools.clear()
        for found in listed.objects:
            self._take(found.key, found.value)

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Takes one later change."""
        if event.kind is objects.EventKind.DELETE:
            self._remove(event.key)
        else:
            self._take(event.key, event.value)

    def _take(self, key: ids.ObjectKey, value: msgspec.Raw) -> None:
        known = member.decode(value)
        if known is not None:
            self._put(key, known)

    def _put(self, key: ids.ObjectKey, known: member.Member) -> None:
        self._remove(key)
        self._members[key] = known
        if known.role is member.MemberRole.GATEWAY:
            self._gateways[key] = known
        elif known.pool is not None:
            self._pools.setdefault(known.pool, {})[key] = known

    def _remove(self, key: ids.ObjectKey) -> None:
        self._change_count += 1
        known = self._members.pop(key, None)
        self._gateways.pop(key, None)
        if known is not None and known.pool in self._pools:
            self._pools[known.pool].pop(key, None)
