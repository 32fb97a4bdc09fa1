"""Puts a gateway together from the product's parts and the adapter's."""

import pathlib
import random

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_memory
from bronzeslip.endpoints import neighbourhood
from bronzeslip.endpoints import own_load
from bronzeslip.endpoints import report_board
from bronzeslip.endpoints import watched_share
from bronzeslip.entry import daemon
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import named_task
from bronzeslip.entry import place
from bronzeslip.entry import readiness
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import attempts
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import copy_releaser
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import pipeline
from bronzeslip.forwarding import repeat_budgets
from bronzeslip.forwarding import report_poller
from bronzeslip.forwarding import request_ledger
from bronzeslip.forwarding import standby_chooser
from bronzeslip.forwarding import stream_forwarder
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
from bronzeslip.store import call_budget
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
        here.store, settings, metrics.platform_called
    )
    registry = gateway_registry.GatewayRegistry(store, here.vm_id)
    shared = _create_parts(settings, here, registry, in_force, known, metrics)
    ready = readiness.Readiness(shared.current, shared.known)
    reloader = settings_reloader.SettingsReloader(
        path, here, shared.budgets.set_bounds
    )
    served = pipeline.Pipeline(
        admission.Admission(settings, shared.current, random.Random()),
        call_forwarder.CallForwarder(shared),
        stream_forwarder.StreamForwarder(shared),
        request_ledger.RequestLedger(metrics),
    )
    return daemon.EntryDaemon(
        settings,
        here,
        ingress.Ingress(served, shared.current),
        shared.current,
        ready,
        metrics,
        (
            *_tasks(settings, here, store, shared),
            named_task.NamedTask("registry", registry.run()),
            named_task.NamedTask("settings", reloader.run()),
        ),
        reloader.reload,
        registry.withdraw,
    )


def _create_parts(
    settings: entry.EntrySettings,
    here: place.VmPlace,
    registry: gateway_registry.GatewayRegistry,
    in_force: current.CurrentTable,
    known: directory.EndpointDirectory,
    metrics: entry_metrics.EntryMetrics,
) -> parts.ForwardingParts:
    own = own_load.OwnLoad()
    reports = report_board.ReportBoard()
    failures = failure_memory.FailureMemory()
    client = endpoint_http.HttpEndpointClient(settings)
    near = neighbourhood.Neighbourhood(here, known)
    known.add_leaving_listener(client.forget)
    if settings.placement is entry.Placement.ROUND_ROBIN:
        chosen = chooser.RoundRobinChooser(known)
    else:
        chosen = chooser.CostChooser(
            here,
            known,
            watched_share.WatchedShare(settings, here, known),
            near,
            load_forecast.LoadForecaster(settings, own, reports),
            failures,
            random.Random(),
        )
    budgets = repeat_budgets.RepeatBudgets(here.bounds, lambda: registry.count)
    return parts.ForwardingParts(
        settings=settings,
        current=in_force,
        known=known,
        own=own,
        reports=reports,
        failures=failures,
        client=client,
        chosen=chosen,
        standbys=standby_chooser.StandbyChooser(
            near, known, reports, random.Random()
        ),
        releaser=copy_releaser.CopyReleaser(client),
        budgets=budgets,
        attempts=attempts.Attempts(chosen, failures, budgets, metrics),
        metrics=metrics,
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
        call_budget.CallRate(
            settings.store_watches_per_s, settings.store_watch_burst
        ),
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
