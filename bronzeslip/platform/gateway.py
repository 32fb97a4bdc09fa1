"""Puts a gateway together from the product's parts and the adapter's."""

import pathlib
import random

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import daemon
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import named_task
from bronzeslip.entry import readiness
from bronzeslip.entry import suspect_replicator
from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_rate_limit
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import components
from bronzeslip.forwarding import report_poller
from bronzeslip.metrics import entry_metrics
from bronzeslip.platform import boot_file
from bronzeslip.platform import configuration_follower
from bronzeslip.platform import discovery_follower
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import ingress
from bronzeslip.platform import settings_reloader
from bronzeslip.platform import store_client
from bronzeslip.routes import current
from bronzeslip.settings import entry
from bronzeslip.store import follower


def create(
    settings: entry.EntrySettings, path: pathlib.Path
) -> daemon.EntryDaemon:
    """Creates a gateway.

    Args:
        settings: Settings of the product.
        path: Where the platform's settings file is.

    Raises:
        errors.BootFileError: If that file can't be read.
    """
    this_vm = boot_file.read(path)
    endpoint_directory = directory.EndpointDirectory(settings)
    current_table = current.CurrentTable()
    metrics = entry_metrics.EntryMetrics(current_table, endpoint_directory)
    store = store_client.StoreClient(
        this_vm.store, settings, metrics.platform_called
    )
    registry = gateway_registry.GatewayRegistry(store, this_vm.vm_id)
    replicator = suspect_replicator.SuspectReplicator(
        settings, this_vm.vm_id, store, lambda: registry.vm_ids
    )
    client = endpoint_http.HttpEndpointClient(settings)
    endpoint_directory.add_leaving_listener(client.forget)
    rng = random.Random()
    shared = assembly.create_components(
        settings,
        this_vm,
        current_table,
        endpoint_directory,
        client,
        replicator.suspect_list,
        replicator.publisher,
        metrics,
        registry,
        rng,
    )
    request_admission = admission.Admission(settings, current_table, rng)
    reloader = settings_reloader.SettingsReloader(
        path, this_vm, shared.retry_budgets.set_bounds
    )
    return daemon.EntryDaemon(
        settings,
        this_vm,
        ingress.Ingress(
            assembly.create_pipeline(shared, request_admission), current_table
        ),
        current_table,
        readiness.Readiness(current_table, endpoint_directory),
        metrics,
        (
            *_tasks(settings, this_vm, store, shared),
            *replicator.tasks(),
            named_task.NamedTask("registry", registry.run()),
            named_task.NamedTask("settings", reloader.run()),
        ),
        reloader.reload,
        registry.deregister,
    )


def _tasks(
    settings: entry.EntrySettings,
    this_vm: vm_config.VmConfig,
    store: store_client.StoreClient,
    shared: components.ForwardingComponents,
) -> tuple[named_task.NamedTask, ...]:
    configuration_timing = follower.FollowTiming(
        settings.configuration_watch_s,
        settings.store_backoff_min_s,
        settings.store_backoff_max_s,
    )
    discovery_timing = follower.FollowTiming(
        settings.store_watch_s,
        settings.store_backoff_min_s,
        settings.store_backoff_max_s,
        settings.store_batch_s,
        watch_rate_limit.from_settings(settings),
    )
    poller = report_poller.ReportPoller(
        settings,
        shared.endpoints,
        watched_endpoints.WatchedEndpoints(settings, this_vm, shared.endpoints),
        shared.in_flight,
        shared.client,
        shared.reports,
        lambda: _engine_services(shared.current),
    )
    return (
        named_task.NamedTask(
            "configuration",
            configuration_follower.ConfigurationFollower(
                store, shared.current, configuration_timing
            ).run(),
        ),
        named_task.NamedTask(
            "discovery",
            discovery_follower.DiscoveryFollower(
                store, shared.endpoints, discovery_timing
            ).run(),
        ),
        named_task.NamedTask("reports", poller.run()),
    )


def _engine_services(
    current_table: current.CurrentTable,
) -> tuple[ids.ServiceName, ...]:
    table = current_table.table
    if table is None:
        return ()
    return tuple(
        service.name for service in table.services if service.engine is not None
    )
