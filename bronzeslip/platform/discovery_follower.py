"""Keeps the directory of endpoints by their entries in the store."""

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import discovery
from bronzeslip.platform import errors
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.store import watched_store

logger = logs.get_logger(__name__)


class DiscoveryFollower:
    """Follows the entries of endpoints."""

    def __init__(
        self,
        store: watched_store.WatchedStore,
        known: directory.EndpointDirectory,
        timing: follower.FollowTiming,
    ) -> None:
        self._known = known
        self._follower = follower.PrefixFollower(
            store,
            discovery.PREFIX,
            self._on_list,
            self._on_event,
            on_failure=known.mark_source_lost,
            timing=timing,
        )

    async def run(self) -> None:
        """Follows until cancelled."""
        await self._follower.run()

    async def _on_list(self, listed: objects.ObjectList) -> None:
        decoded = (_decode(found) for found in listed.objects)
        self._known.replace_all(found for found in decoded if found)

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        endpoint_id = discovery.endpoint_id_of(event.key)
        if event.kind is objects.EventKind.DELETE:
            self._known.remove(endpoint_id)
            return
        found = _decode(
            objects.PlatformObject(event.key, event.version, event.value)
        )
        if found is not None:
            self._known.put(found)


def _decode(found: objects.PlatformObject) -> endpoint.Endpoint | None:
    try:
        return discovery.decode(ids.ObjectKey(found.key), found.value)
    except errors.EntryError as error:
        logger.warning("endpoints.unreadable_entry", reason=error.message)
        return None
