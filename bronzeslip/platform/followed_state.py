"""State that a gateway follows in the platform's store."""

from collections.abc import Callable

from bronzeslip.endpoints import directory
from bronzeslip.entry import named_task
from bronzeslip.entry import suspect_replicator
from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_timing
from bronzeslip.metrics import entry_metrics
from bronzeslip.platform import configuration_follower
from bronzeslip.platform import discovery_follower
from bronzeslip.platform import evacuation_follower
from bronzeslip.platform import store_client
from bronzeslip.routes import current
from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter


class FollowedState:
    """Follows the configuration, evacuations, endpoints and suspects."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        this_vm: vm_config.VmConfig,
        store: store_client.StoreClient,
        current_table: current.CurrentTable,
        endpoint_directory: directory.EndpointDirectory,
        replicator: suspect_replicator.SuspectReplicator,
        endpoint_rate_limit: Callable[[], rate_limiter.RateLimit],
    ) -> None:
        """Creates the followers.

        Args:
            settings: Timing of the watches.
            this_vm: Bounds within which changes must be known.
            store: Client of the store.
            current_table: Configuration to update.
            endpoint_directory: Endpoints and evacuated failure domains to
                update.
            replicator: Follows the suspects.
            endpoint_rate_limit: Returns the rate limit of the next watch of
                the endpoints.
        """
        self._domains = endpoint_directory.evacuated_domains
        self._current_table = current_table
        self._replicator = replicator
        timing = watch_timing.WatchTiming(settings, this_vm.bounds)
        self._configuration = configuration_follower.ConfigurationFollower(
            store, current_table, timing.configuration()
        )
        self._evacuations = evacuation_follower.EvacuationFollower(
            store,
            self._domains,
            timing.evacuations(),
            lambda: current_table.table is not None,
        )
        self._discovery = discovery_follower.DiscoveryFollower(
            store,
            endpoint_directory,
            timing.endpoints(),
            self._restart_watches,
            endpoint_rate_limit,
        )
        store.era.add_listener(self._configuration.interrupt)
        store.era.add_listener(self._evacuations.interrupt)
        self._follows_evacuations = this_vm.bounds.evac_s is not None
        if self._follows_evacuations:
            self._domains.start_following()

    def tasks(self) -> tuple[named_task.NamedTask, ...]:
        """Returns the tasks that follow the state."""
        evacuation_tasks: tuple[named_task.NamedTask, ...] = ()
        if self._follows_evacuations:
            evacuation_tasks = (
                named_task.NamedTask("evacuations", self._evacuations.run),
            )
        return (
            *evacuation_tasks,
            named_task.NamedTask("configuration", self._configuration.run),
            named_task.NamedTask("discovery", self._discovery.run),
            *self._replicator.tasks(),
        )

    def export_ages(self, metrics: entry_metrics.EntryMetrics) -> None:
        """Exports how long ago each part was known to be up to date."""
        confirmations = {
            "configuration": self._current_table.confirmation,
            "endpoints": self._discovery.confirmation,
            "suspects": self._replicator.confirmation,
        }
        if self._follows_evacuations:
            confirmations["evacuations"] = self._domains.confirmation
        for followed, confirmation in confirmations.items():
            metrics.track_age(followed, confirmation.age_s)

    def _restart_watches(self) -> None:
        self._configuration.interrupt()
        self._evacuations.interrupt()
        self._replicator.interrupt()
