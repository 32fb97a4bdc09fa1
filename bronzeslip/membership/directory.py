"""Directory of the registered members."""

import msgspec

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.membership import member
from bronzeslip.store import objects

logger = logs.get_logger(__name__)


class MemberDirectory:
    """Members by key, updated by a follower of the members' prefix."""

    def __init__(self) -> None:
        self._members: dict[ids.ObjectKey, member.Member] = {}
        self._change_count = 0
        self._gateways: dict[ids.ObjectKey, member.Member] = {}
        self._pools: dict[ids.PoolName, dict[ids.ObjectKey, member.Member]] = {}

    @property
    def change_count(self) -> int:
        """Number of changes so far, for invalidating derived data."""
        return self._change_count

    def members(self) -> tuple[member.Member, ...]:
        """Returns all known members."""
        return tuple(self._members.values())

    def gateways(self) -> tuple[member.Member, ...]:
        """Returns the known gateways in any state."""
        return tuple(self._gateways.values())

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Returns the serving sidecars of a pool's endpoints."""
        return tuple(
            record
            for record in self._pools.get(pool, {}).values()
            if record.state is member.MemberState.SERVING
        )

    def endpoint(self, endpoint_id: ids.EndpointId) -> member.Member | None:
        """Returns the sidecar of an endpoint, None if there is none."""
        key = f"{member.MEMBERS_PREFIX}{member.MemberRole.SIDECAR.value}/"
        return self._members.get(ids.ObjectKey(key + endpoint_id))

    def put(self, record: member.Member) -> None:
        """Adds or replaces a member."""
        self._put(member.key_of(record), record)

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Replaces all members with a listing of the prefix."""
        self._change_count += 1
        self._members.clear()
        self._gateways.clear()
        self._pools.clear()
        for found in listed.objects:
            with isolation.isolated(
                logger, "membership.record_failed", key=found.key
            ):
                self._apply(found.key, found.value)

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Applies one change after the listing."""
        if event.kind is objects.EventKind.DELETE:
            self._remove(event.key)
        else:
            self._apply(event.key, event.value)

    def _apply(self, key: ids.ObjectKey, value: msgspec.Raw) -> None:
        record = member.decode(value)
        if record is not None:
            self._put(key, record)

    def _put(self, key: ids.ObjectKey, record: member.Member) -> None:
        self._remove(key)
        self._members[key] = record
        if record.role is member.MemberRole.GATEWAY:
            self._gateways[key] = record
        elif record.pool is not None:
            self._pools.setdefault(record.pool, {})[key] = record

    def _remove(self, key: ids.ObjectKey) -> None:
        self._change_count += 1
        record = self._members.pop(key, None)
        self._gateways.pop(key, None)
        if record is not None and record.pool in self._pools:
            self._pools[record.pool].pop(key, None)
