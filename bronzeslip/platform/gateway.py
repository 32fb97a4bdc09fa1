"""Puts a gateway together from the product's parts and the adapter's."""

import pathlib
import random

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import watched_share
from bronzeslip.entry import daemon
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import named_task
from bronzeslip.entry import place
from bronzeslip.entry import readiness
from bronzeslip.entry import suspect_keeper
from bronzeslip.entry import watch_rate
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import parts
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
    here = boot_file.read(path)
    known = directory.EndpointDirectory(settings)
    in_force = current.CurrentTable()
    metrics = entry_metrics.EntryMetrics(in_force, known)
    store = store_client.StoreClient(
        here.store, settings, metrics.count_platform_call
    )
    registry = gateway_registry.GatewayRegistry(store, here.vm_id)
    suspects = suspect_keeper.SuspectKeeper(
        settings, here.vm_id, store, lambda: registry.vm_ids
    )
    client = endpoint_http.HttpEndpointClient(settings)
    known.add_leaving_listener(client.forget)
    rng = random.Random()
    shared = assembly.create_parts(
        settings,
        here,
        in_force,
        known,
        client,
        suspects.known,
        suspects.publisher,
        metrics,
        registry,
        rng,
    )
    admitting = admission.Admission(settings, in_force, rng)
    reloader = settings_reloader.SettingsReloader(
        path, here, shared.budgets.set_bounds
    )
    return daemon.EntryDaemon(
        settings,
        here,
        ingress.Ingress(assembly.create_pipeline(shared, admitting), in_force),
        in_force,
        readiness.Readiness(in_force, known),
        metrics,
        (
            *_tasks(settings, here, store, shared),
            *suspects.tasks(),
            named_task.NamedTask("registry", registry.run()),
            named_task.NamedTask("settings", reloader.run()),
        ),
        reloader.reload,
        registry.withdraw,
    )


def _tasks(
    settings: entry.EntrySettings,
    here: place.VmPlace,
    store: store_client.StoreClient,
    shared: parts.ForwardingParts,
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
        watch_rate.of_settings(settings),
    )
    poller = report_poller.ReportPoller(
        settings,
        shared.known,
        watched_share.WatchedShare(settings, here, shared.known),
        shared.own,
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
                store, shared.known, discovery_timing
            ).run(),
        ),
        named_task.NamedTask("reports", poller.run()),
    )


def _engine_services(
    in_force: current.CurrentTable,
) -> tuple[ids.ServiceName, ...]:
    table = in_force.table
    if table is None:
        return ()
    return tuple(
        service.name for service in table.services if service.engine is not None
    )
