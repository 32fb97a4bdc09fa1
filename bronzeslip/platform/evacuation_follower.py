"""Updates the evacuated failure domains from the store."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.places import evacuated_domains
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.store import watched_store

PREFIX = "evacuations/"


class EvacuationFollower:
    """Follows the evacuations in the store.

    Each is named after its failure domain. Only their presence counts; their
    values may be anything.
    """

    def __init__(
        self,
        store: watched_store.WatchedStore,
        domains: evacuated_domains.EvacuatedDomains,
        timing: follower.FollowTiming,
        is_store_answering: Callable[[], bool],
    ) -> None:
        """Creates a follower.

        Args:
            store: Client of the store.
            domains: Failure domains to update.
            timing: Waits and delays.
            is_store_answering: Tells whether the store has answered other
                requests of this process.
        """
        self._domains = domains
        self._is_store_answering = is_store_answering
        self._follower = follower.PrefixFollower(
            store,
            PREFIX,
            self._on_list,
            self._on_event,
            on_failure=self._handle_failure,
            timing=timing,
            confirmation=domains.confirmation,
        )

    def interrupt(self) -> None:
        """Lists the evacuations again."""
        self._follower.interrupt()

    async def run(self) -> None:
        """Runs until cancelled."""
        await self._follower.run()

    def _handle_failure(self) -> None:
        self._domains.mark_source_lost(self._is_store_answering())

    async def _on_list(self, listing: objects.ObjectList) -> None:
        self._domains.replace_all(
            _domain_of(stored.key) for stored in listing.objects
        )

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        if event.kind is objects.EventKind.DELETE:
            self._domains.remove(_domain_of(event.key))
        else:
            self._domains.add(_domain_of(event.key))


def _domain_of(key: ids.ObjectKey) -> ids.FailureDomainName:
    return ids.FailureDomainName(key.removeprefix(PREFIX))
