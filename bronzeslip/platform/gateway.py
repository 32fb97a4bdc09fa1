"""Creates a gateway that runs on the platform."""

import pathlib
import random

from bronzeslip import ids
from bronzeslip import process_memory
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import caller_connections
from bronzeslip.entry import daemon
from bronzeslip.entry import explanations_api
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import named_task
from bronzeslip.entry import peer_http
from bronzeslip.entry import permits_api
from bronzeslip.entry import placements_api
from bronzeslip.entry import readiness
from bronzeslip.entry import suspect_replicator
from bronzeslip.entry import vm_config
from bronzeslip.entry import watch_rate_limit
from bronzeslip.explanation import assembly as explanation_assembly
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import components
from bronzeslip.forwarding import drain_deadline
from bronzeslip.forwarding import report_poller
from bronzeslip.memory import budget
from bronzeslip.memory import guard
from bronzeslip.metrics import entry_metrics
from bronzeslip.places import cold_limits
from bronzeslip.places import cold_shares
from bronzeslip.platform import body_reader
from bronzeslip.platform import caller_response
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import followed_state
from bronzeslip.platform import ingress
from bronzeslip.platform import settings_reloader
from bronzeslip.platform import store_client
from bronzeslip.quota import cold_permits
from bronzeslip.quota import end_announcer
from bronzeslip.quota import endpoint_permits
from bronzeslip.quota import peer
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_coordinator
from bronzeslip.routes import current
from bronzeslip.settings import entry
from bronzeslip.store import rate_limiter

_BYTES_PER_MB = 1_000_000


def create(
    settings: entry.EntrySettings,
    path: pathlib.Path,
    this_vm: vm_config.VmConfig,
) -> daemon.EntryDaemon:
    """Creates a gateway.

    Args:
        settings: Settings of the gateway.
        path: Path of the platform's settings file.
        this_vm: Configuration read from that file.
    """
    endpoint_directory = directory.EndpointDirectory(settings)
    current_table = current.CurrentTable()
    metrics = entry_metrics.EntryMetrics(current_table, endpoint_directory)
    store = store_client.StoreClient(
        this_vm.store_address, settings, metrics.count_platform_call
    )
    own = peer.Peer(this_vm.vm_id, this_vm.peer_address)
    registry = gateway_registry.GatewayRegistry(settings, store, own)
    replicator = suspect_replicator.SuspectReplicator(
        settings,
        this_vm.bounds,
        this_vm.vm_id,
        store,
        lambda: registry.vm_ids,
    )
    store.era.add_listener(endpoint_directory.mark_source_restored)
    store.era.add_listener(registry.on_store_restored)
    store.era.add_listener(replicator.on_store_restored)
    client = endpoint_http.HttpEndpointClient(settings, endpoint_directory)
    endpoint_directory.add_leaving_listener(client.remove_endpoint)
    endpoint_directory.add_gone_listener(client.remove_endpoint)
    shares = cold_shares.ColdShares(this_vm.bounds, registry)
    coordinator = permit_coordinator.PermitCoordinator(
        endpoint_directory, registry, cold_rate=shares.permits_per_s
    )
    peers = peer_http.HttpPeerClient(settings)
    caller = peer_caller.PeerCaller(own, coordinator, peers)
    permits = endpoint_permits.EndpointPermits(
        endpoint_directory, registry, caller
    )
    end_announcer.EndAnnouncer(
        endpoint_directory, registry, coordinator, caller
    ).start()
    rng = random.Random()
    forwarding_components = assembly.create_components(
        settings,
        this_vm,
        current_table,
        endpoint_directory,
        client,
        replicator.suspect_list,
        replicator.publisher,
        metrics,
        registry,
        permits,
        cold_limits.ColdLimits(
            endpoint_directory.cold_endpoints,
            shares,
            cold_permits.ColdPermits(registry, caller),
        ),
        rng,
        peers,
    )
    request_admission = admission.Admission(settings, current_table, rng)
    drain = drain_deadline.DrainDeadline(this_vm.bounds)

    def set_bounds(bounds: vm_config.PlaceBounds) -> None:
        forwarding_components.retry_budgets.set_bounds(bounds)
        drain.set_bounds(bounds)
        shares.set_bounds(bounds)

    process_memory.release_large_blocks()
    memory = budget.create(
        this_vm.process_limits.memory_bytes
        or settings.memory_limit_mb * _BYTES_PER_MB,
        process_memory.resident_bytes(),
    )
    slots = caller_connections.create_slots(this_vm.process_limits, memory)
    internal_slots = caller_connections.create_internal_slots(
        this_vm.process_limits, memory
    )
    metrics.track_memory(memory, slots, internal_slots)
    reloader = settings_reloader.SettingsReloader(path, this_vm, set_bounds)
    metrics.track_age("gateways", registry.listing_age_s)
    metrics.track_age("settings", reloader.confirmation.age_s)
    return daemon.EntryDaemon(
        settings,
        this_vm,
        ingress.Ingress(
            assembly.create_pipeline(
                forwarding_components, request_admission, drain
            ),
            body_reader.BodyReader(memory, current_table),
            memory,
        ),
        (
            permits_api.handler(coordinator),
            placements_api.handler(forwarding_components.placement.coordinator),
            explanations_api.handler(
                explanation_assembly.create(
                    this_vm,
                    forwarding_components,
                    registry,
                    caller_response.http_status,
                )
            ),
        ),
        current_table,
        readiness.Readiness(current_table, endpoint_directory),
        metrics,
        (
            *_tasks(
                settings,
                this_vm,
                store,
                forwarding_components,
                replicator,
                metrics,
            ),
            named_task.NamedTask("registry", registry.run),
            named_task.NamedTask("settings", reloader.run),
            named_task.NamedTask("memory", guard.MemoryGuard(memory).run),
        ),
        reloader.reload,
        drain.begin,
        registry.deregister,
        slots,
        internal_slots,
    )


def _tasks(
    settings: entry.EntrySettings,
    this_vm: vm_config.VmConfig,
    store: store_client.StoreClient,
    forwarding_components: components.ForwardingComponents,
    replicator: suspect_replicator.SuspectReplicator,
    metrics: entry_metrics.EntryMetrics,
) -> tuple[named_task.NamedTask, ...]:
    poller = report_poller.ReportPoller(
        settings,
        forwarding_components.endpoints,
        watched_endpoints.WatchedEndpoints(
            settings,
            this_vm,
            forwarding_components.endpoints,
            forwarding_components.current,
        ),
        forwarding_components.in_flight,
        forwarding_components.client,
        forwarding_components.reports,
        lambda: _engine_services(forwarding_components.current),
        forwarding_components.placement.polled_engines,
    )
    forwarding_components.placement.duties.add_begun_listener(poller.refresh)

    def endpoint_rate_limit() -> rate_limiter.RateLimit:
        polled = forwarding_components.placement.polled_engines
        services = _engine_services(forwarding_components.current)
        if polled.relies_on_coordinators(services):
            return watch_rate_limit.create_relaxed(settings, this_vm.bounds)
        return watch_rate_limit.create(settings, this_vm.bounds)

    followed = followed_state.FollowedState(
        settings,
        this_vm,
        store,
        forwarding_components.current,
        forwarding_components.endpoints,
        replicator,
        endpoint_rate_limit,
    )
    followed.export_ages(metrics)
    return (
        *followed.tasks(),
        named_task.NamedTask("reports", poller.run),
        named_task.NamedTask(
            "paces", forwarding_components.placement.pace_reader.run
        ),
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
