"""Replicates the list of suspect requests between entry gateways."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import last_confirmation
from bronzeslip import logs
from bronzeslip.entry import named_task
from bronzeslip.entry import suspect_list_settings
from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_timing
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import entry
from bronzeslip.store import follower
from bronzeslip.store import shared_store

logger = logs.get_logger(__name__)


class SuspectReplicator:
    """Owns the suspect list, publishes it and follows those of others.

    Attributes:
        suspect_list: Suspect requests recorded by all gateways.
        publisher: Writes this gateway's record to the store.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        bounds: vm_config.PlaceBounds,
        vm_id: ids.VmId,
        store: shared_store.SharedStore,
        live_gateways: Callable[[], set[ids.VmId]],
    ) -> None:
        """Creates a replicator with an empty list.

        Args:
            settings: Settings with the time to live of entries and the timing
                of watches.
            bounds: Bounds that limit how late changes are noticed.
            vm_id: VM of this gateway.
            store: Store that holds the records.
            live_gateways: Returns the VMs of the known gateways.
        """
        list_settings = suspect_list_settings.SuspectListSettings(
            vm_id, settings.suspect_ttl_s
        )
        self.suspect_list = suspect_list.SuspectList(list_settings)
        self.publisher = suspect_publisher.SuspectPublisher(
            list_settings, store, live_gateways, self.suspect_list
        )
        self._follower = follower.PrefixFollower(
            store,
            suspect_list.SUSPECTS_PREFIX,
            self.suspect_list.on_list,
            self.suspect_list.on_event,
            timing=watch_timing.WatchTiming(settings, bounds).suspects(),
        )

    @property
    def confirmation(self) -> last_confirmation.LastConfirmation:
        """Record of the store's responses."""
        return self._follower.confirmation

    def interrupt(self) -> None:
        """Lists the suspects again."""
        self._follower.interrupt()

    def on_store_restored(self) -> None:
        """Writes the record again if this gateway has suspects."""
        self.interrupt()
        if not self.suspect_list.own_record().is_empty:
            logger.info("suspects.written_again")
            self.publisher.publish()

    def tasks(self) -> tuple[named_task.NamedTask, ...]:
        """Returns the background tasks of the replication."""
        return (
            named_task.NamedTask("suspects", self._follower.run),
            named_task.NamedTask("suspect-writes", self.publisher.run),
        )
