"""Updates the endpoint directory from the discovery entries."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import last_confirmation
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import discovery
from bronzeslip.platform import errors
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.store import rate_limiter
from bronzeslip.store import watched_store

logger = logs.get_logger(__name__)

_MAX_LOGGED_CHARS = 100


class DiscoveryFollower:
    """Follows the discovery entries in the store."""

    def __init__(
        self,
        store: watched_store.WatchedStore,
        endpoint_directory: directory.EndpointDirectory,
        timing: follower.FollowTiming,
        on_failure: Callable[[], None],
        current_rate_limit: Callable[[], rate_limiter.RateLimit] | None = None,
    ) -> None:
        """Creates a follower.

        Args:
            store: Client of the store.
            endpoint_directory: Directory to update.
            timing: Waits, delays and rate limit.
            on_failure: Called when a call fails. Since endpoints change all
                the time, this is the first sign of trouble at the store.
            current_rate_limit: Returns the rate limit of the next watch call,
                in place of that of the timing.
        """
        self._endpoint_directory = endpoint_directory
        self._on_failure = on_failure
        self._follower = follower.PrefixFollower(
            store,
            discovery.PREFIX,
            self._on_list,
            self._on_event,
            on_failure=self._handle_failure,
            timing=timing,
            current_rate_limit=current_rate_limit,
        )

    @property
    def confirmation(self) -> last_confirmation.LastConfirmation:
        """Record of the store's responses."""
        return self._follower.confirmation

    async def run(self) -> None:
        """Runs until cancelled."""
        await self._follower.run()

    def _handle_failure(self) -> None:
        self._endpoint_directory.mark_source_lost()
        self._on_failure()

    async def _on_list(self, listing: objects.ObjectList) -> None:
        entries = [
            (decoded, stored.version)
            for stored in listing.objects
            if (decoded := _decode(stored)) is not None
        ]
        self._endpoint_directory.replace_all(decoded for decoded, _ in entries)
        # An older copy of the store may list incarnations that are gone.
        self._endpoint_directory.cold_endpoints.replace_all(
            (decoded, version)
            for decoded, version in entries
            if self._is_known(decoded)
        )

    def _is_known(self, listed: endpoint.Endpoint) -> bool:
        known = self._endpoint_directory.get(listed.endpoint_id)
        return known is not None and known.is_same_incarnation(listed)

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        endpoint_id = discovery.endpoint_id_of(event.key)
        if event.kind is objects.EventKind.DELETE:
            self._endpoint_directory.remove(endpoint_id)
            return
        decoded = _decode(
            objects.PlatformObject(event.key, event.version, event.value)
        )
        if decoded is not None:
            self._endpoint_directory.cold_endpoints.put(decoded, event.version)
            self._endpoint_directory.put(decoded)
        else:
            # As in a listing, such an entry names no endpoint. The next valid
            # one of the same incarnation makes it usable again.
            self._endpoint_directory.remove(endpoint_id)


def _decode(stored: objects.PlatformObject) -> endpoint.Endpoint | None:
    try:
        return discovery.decode(ids.ObjectKey(stored.key), stored.value)
    except errors.EntryError as error:
        logger.warning(
            "endpoints.unreadable_entry",
            key=stored.key[:_MAX_LOGGED_CHARS],
            reason=error.message,
        )
        return None
    except Exception as error:
        # One entry must not hide the others.
        logger.error(
            "endpoints.entry_failed",
            key=stored.key[:_MAX_LOGGED_CHARS],
            reason=logs.describe(error),
        )
        return None
