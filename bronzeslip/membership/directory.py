"""The members that a process knows of."""

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.membership import member
from bronzeslip.platform import client
from bronzeslip.platform import follower
from bronzeslip.platform import objects

logger = logs.get_logger(__name__)


class MemberDirectory:
    """Members by key, followed from the platform."""

    def __init__(self) -> None:
        self._members: dict[ids.ObjectKey, member.Member] = {}

    def members(self) -> tuple[member.Member, ...]:
        """Lists every known member."""
        return tuple(self._members.values())

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Lists the sidecars before a pool's endpoints."""
        return tuple(
            known
            for known in self._members.values()
            if known.pool == pool and known.state is member.MemberState.SERVING
        )

    def endpoint(self, endpoint_id: ids.EndpointId) -> member.Member | None:
        """Finds the sidecar before an endpoint."""
        key = f"{member.MEMBERS_PREFIX}{member.MemberRole.SIDECAR.value}/"
        return self._members.get(ids.ObjectKey(key + endpoint_id))

    def put(self, known: member.Member) -> None:
        """Adds or replaces a member."""
        self._members[member.key_of(known)] = known

    def follower(
        self, platform: client.PlatformClient
    ) -> follower.PrefixFollower:
        """Returns a follower that keeps this directory up to date."""
        return follower.PrefixFollower(
            platform, member.MEMBERS_PREFIX, self._on_list, self._on_event
        )

    async def _on_list(self, listed: objects.ObjectList) -> None:
        self._members = {
            found.key: known
            for found in listed.objects
            if (known := _decode(found.key, found.value)) is not None
        }

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        if event.kind is objects.EventKind.DELETE:
            self._members.pop(event.key, None)
            return
        known = _decode(event.key, event.value)
        if known is not None:
            self._members[event.key] = known


def _decode(key: ids.ObjectKey, value: msgspec.Raw) -> member.Member | None:
    try:
        return msgspec.json.decode(value, type=member.Member)
    except msgspec.MsgspecError as error:
        logger.error("membership.unreadable", key=key, reason=str(error))
        return None
