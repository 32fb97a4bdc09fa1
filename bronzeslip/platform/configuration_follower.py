"""Applies each new version of the configuration."""

import msgspec

from bronzeslip import logs
from bronzeslip.platform import configuration
from bronzeslip.platform import errors
from bronzeslip.routes import current
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.store import watched_store

logger = logs.get_logger(__name__)


class ConfigurationFollower:
    """Follows the configuration object in the store."""

    def __init__(
        self,
        store: watched_store.WatchedStore,
        current_table: current.CurrentTable,
        timing: follower.FollowTiming,
    ) -> None:
        self._current_table = current_table
        self._follower = follower.PrefixFollower(
            store,
            configuration.PREFIX,
            self._on_list,
            self._on_event,
            timing=timing,
            confirmation=current_table.confirmation,
        )

    def interrupt(self) -> None:
        """Reads the configuration again."""
        self._follower.interrupt()

    async def run(self) -> None:
        """Runs until cancelled."""
        await self._follower.run()

    async def _on_list(self, listing: objects.ObjectList) -> None:
        for stored_object in listing.objects:
            if stored_object.key == configuration.KEY:
                self._apply(stored_object.value)

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        is_put = event.kind is objects.EventKind.PUT
        if is_put and event.key == configuration.KEY:
            self._apply(event.value)

    def _apply(self, value: msgspec.Raw) -> None:
        try:
            table = configuration.decode(value)
        except errors.ConfigurationError as error:
            logger.error("configuration.unreadable", reason=error.message)
            return
        except Exception as error:
            logger.error("configuration.failed", reason=logs.describe(error))
            return
        self._current_table.adopt(table)
