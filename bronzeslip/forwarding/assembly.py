"""Assembles the forwarding components of a gateway."""

import random

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_tracker
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import proximity
from bronzeslip.endpoints import report_cache
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import contract
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import attempts
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import components
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import copy_releaser
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import drain_deadline
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import permitted_chooser
from bronzeslip.forwarding import pipeline
from bronzeslip.forwarding import read_ahead
from bronzeslip.forwarding import request_ledger
from bronzeslip.forwarding import service_retry_budgets
from bronzeslip.forwarding import standby_chooser
from bronzeslip.forwarding import stream_forwarder
from bronzeslip.load import placement_ledger
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import assembly as placement_assembly
from bronzeslip.placement import placement_client
from bronzeslip.places import cold_limits
from bronzeslip.places import permitted_regions
from bronzeslip.quota import endpoint_permits
from bronzeslip.routes import current
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import entry


def create_components(
    settings: entry.EntrySettings,
    this_vm: vm_config.VmConfig,
    current_table: current.CurrentTable,
    endpoints: directory.EndpointDirectory,
    client: endpoint_client.EndpointClient,
    suspects: suspect_list.SuspectList,
    publisher: suspect_publisher.SuspectPublisher,
    metrics: entry_metrics.EntryMetrics,
    gateways: gateway_registry.GatewayRegistry,
    permits: endpoint_permits.EndpointPermits,
    limits_of_cold: cold_limits.ColdLimits,
    rng: random.Random,
    peers: placement_client.PlacementClient | None = None,
) -> components.ForwardingComponents:
    """Creates the forwarding components.

    Args:
        settings: Settings of the gateway.
        this_vm: Location of this gateway and limits on its retries.
        current_table: Current configuration.
        endpoints: Directory of the known endpoints.
        client: Client for calls to endpoints.
        suspects: Requests that were running when an endpoint crashed.
        publisher: Publishes the suspects to the other gateways.
        metrics: Metrics of the gateway.
        gateways: Counts the gateways and ranks them as coordinators.
        permits: Permits for endpoints that have a limit.
        limits_of_cold: Limits the requests to cold endpoints.
        rng: Source of all random choices.
        peers: Client for calls to other gateways; None if there are none.
    """
    in_flight = in_flight_requests.InFlightRequests()
    reports = report_cache.ReportCache()
    is_under_pressure = contract.Contract.PRESSURE in this_vm.contracts
    ledger = placement_ledger.PlacementLedger()
    reports.add_listener(ledger.apply_report)
    endpoints.add_gone_listener(ledger.remove)
    load_forecaster = load_forecast.LoadForecaster(
        settings, in_flight, reports, endpoints.load_statements, ledger
    )
    failures = failure_tracker.FailureTracker()
    endpoints.add_gone_listener(lambda gone: failures.remove(gone.endpoint_id))
    regions = permitted_regions.PermittedRegionsFilter(this_vm)
    endpoints.add_gone_listener(limits_of_cold.remove)
    endpoint_proximity = proximity.EndpointProximity(this_vm, endpoints)
    connections = connection_share.ConnectionShare(
        settings, endpoints, in_flight, gateways
    )
    if settings.placement is entry.Placement.ROUND_ROBIN:
        endpoint_chooser = chooser.RoundRobinChooser(endpoints, regions, rng)
    else:
        endpoint_chooser = chooser.CostChooser(
            this_vm,
            endpoints,
            watched_endpoints.WatchedEndpoints(
                settings, this_vm, endpoints, current_table
            ),
            endpoint_proximity,
            load_forecaster,
            failures,
            connections,
            regions,
            rng,
        )
    placement_parts = placement_assembly.create(
        settings,
        this_vm,
        current_table,
        endpoints,
        in_flight,
        reports,
        failures,
        endpoint_chooser,
        connections,
        gateways,
        peers,
        client,
        metrics,
        load_forecaster,
        ledger,
        regions,
        endpoints.load_statements.states_pace,
        rng,
    )
    sending_chooser = permitted_chooser.PermittedChooser(
        placement_parts.chooser,
        endpoints,
        permits,
        regions,
        limits_of_cold,
        rng,
    )
    retry_budgets = service_retry_budgets.ServiceRetryBudgets(
        this_vm.bounds, gateways, random.Random(this_vm.vm_id)
    )
    crash_detector = crash_watch.CrashDetector(
        suspects, publisher, client, endpoints, settings.suspect_ttl_s
    )
    return components.ForwardingComponents(
        settings=settings,
        current=current_table,
        endpoints=endpoints,
        in_flight=in_flight,
        reports=reports,
        placement_ledger=ledger,
        load_forecaster=load_forecaster,
        failures=failures,
        client=client,
        endpoint_chooser=endpoint_chooser,
        placement=placement_parts,
        permits=permits,
        permitted_chooser=sending_chooser,
        copy_target_chooser=standby_chooser.StandbyChooser(
            endpoint_proximity, endpoints, reports, regions, rng
        ),
        regions=regions,
        cold_limits=limits_of_cold,
        releaser=copy_releaser.CopyReleaser(client),
        retry_budgets=retry_budgets,
        crash_detector=crash_detector,
        attempt_runner=attempts.AttemptRunner(
            sending_chooser, failures, retry_budgets, crash_detector, metrics
        ),
        metrics=metrics,
        read_ahead_bytes=read_ahead.LIMIT_BYTES if is_under_pressure else 0,
    )


def create_pipeline(
    shared: components.ForwardingComponents,
    admitter: admission.Admission,
    drain: drain_deadline.DrainDeadline,
) -> pipeline.Pipeline:
    """Creates the pipeline that serves requests.

    Args:
        shared: Shared components of the gateway.
        admitter: Admits requests according to the configuration.
        drain: Ends requests before the gateway is killed.
    """
    return pipeline.Pipeline(
        admitter,
        call_forwarder.CallForwarder(shared),
        stream_forwarder.StreamForwarder(shared),
        shared.crash_detector,
        request_ledger.RequestLedger(shared.metrics),
        drain,
    )
