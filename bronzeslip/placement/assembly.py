"""Assembles the components of coordinated placement."""

from collections.abc import Callable
import random
import time

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_tracker
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import gateway_registry
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_cost
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement_ledger
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import coordinated_chooser
from bronzeslip.placement import coordination_duties
from bronzeslip.placement import coordinator_contact
from bronzeslip.placement import engine_view
from bronzeslip.placement import option_rater
from bronzeslip.placement import pace_reader
from bronzeslip.placement import placement_caller
from bronzeslip.placement import placement_client
from bronzeslip.placement import placement_coordinator
from bronzeslip.placement import placement_gate
from bronzeslip.placement import placement_parts
from bronzeslip.placement import placement_policy
from bronzeslip.placement import polled_engines
from bronzeslip.places import permitted_regions
from bronzeslip.quota import peer
from bronzeslip.routes import current
from bronzeslip.routes import service
from bronzeslip.settings import entry


def create(
    settings: entry.EntrySettings,
    this_vm: vm_config.VmConfig,
    current_table: current.CurrentTable,
    endpoints: directory.EndpointDirectory,
    in_flight: in_flight_requests.InFlightRequests,
    reports: report_cache.ReportCache,
    failures: failure_tracker.FailureTracker,
    local_chooser: chooser.EndpointChooser,
    connections: connection_share.ConnectionShare,
    gateways: gateway_registry.GatewayRegistry,
    client: placement_client.PlacementClient | None,
    endpoint_calls: endpoint_client.EndpointClient,
    metrics: entry_metrics.EntryMetrics,
    load_forecaster: load_forecast.LoadForecaster,
    ledger: placement_ledger.PlacementLedger,
    regions: permitted_regions.PermittedRegionsFilter,
    states_pace: Callable[[ids.ServiceName], bool],
    rng: random.Random,
    clock: Callable[[], float] = time.monotonic,
) -> placement_parts.PlacementParts:
    """Creates the components of coordinated placement.

    Args:
        settings: Settings of the gateway.
        this_vm: Location of this gateway and contracts of the deployment.
        current_table: Current configuration.
        endpoints: Directory of the known endpoints.
        in_flight: Requests of this gateway in flight at each endpoint.
        reports: Latest reports of the model engines.
        failures: Recent failures of endpoints.
        local_chooser: Chooses where no coordinator decides.
        connections: Limits the requests in flight at an endpoint.
        gateways: Counts the gateways and ranks them as coordinators.
        client: Client for calls to other gateways; None if there are none.
        endpoint_calls: Client for calls to endpoints.
        metrics: Metrics of the gateway.
        load_forecaster: Forecasts the load of endpoints.
        ledger: Placements that no report shows yet.
        regions: Decides which endpoints a request may reach.
        states_pace: Returns whether an endpoint of a service has stated its
            pace.
        rng: Source of random choices.
        clock: Clock of the event loop, in seconds.
    """
    gate = placement_gate.PlacementGate(
        settings, this_vm, current_table, gateways, states_pace
    )
    duties = coordination_duties.CoordinationDuties(clock)
    contact = coordinator_contact.CoordinatorContact()
    view = engine_view.EngineView(load_forecaster, reports, ledger, clock)
    coordinator = placement_coordinator.PlacementCoordinator(
        this_vm,
        endpoints,
        gateways,
        current_table,
        regions,
        view,
        option_rater.OptionRater(
            this_vm,
            endpoints,
            reports,
            view,
            endpoint_cost.EndpointCost(this_vm, failures),
        ),
        placement_policy.PlacementPolicy(),
        duties,
        metrics,
        rng,
        clock,
    )
    caller = placement_caller.PlacementCaller(
        peer.Peer(this_vm.vm_id, this_vm.peer_address),
        gateways,
        coordinator,
        client,
        clock,
    )
    return placement_parts.PlacementParts(
        chooser=coordinated_chooser.CoordinatedChooser(
            this_vm,
            endpoints,
            local_chooser,
            gate,
            caller,
            contact,
            connections,
            regions,
            metrics,
            clock,
        ),
        coordinator=coordinator,
        duties=duties,
        polled_engines=polled_engines.PolledEngines(
            endpoints,
            watched_endpoints.WatchedEndpoints(
                settings, this_vm, endpoints, current_table
            ),
            in_flight,
            gate,
            duties,
            contact,
        ),
        pace_reader=pace_reader.PaceReader(
            endpoints,
            endpoint_calls,
            duties,
            lambda: _services(current_table),
        ),
    )


def _services(
    current_table: current.CurrentTable,
) -> tuple[service.Service, ...]:
    table = current_table.table
    return () if table is None else table.services
