"""Components shared by the forwarders of a gateway."""

import msgspec

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_tracker
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import attempts
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import copy_releaser
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import permitted_chooser
from bronzeslip.forwarding import service_retry_budgets
from bronzeslip.forwarding import standby_chooser
from bronzeslip.load import placement_ledger
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import placement_parts
from bronzeslip.places import cold_limits
from bronzeslip.places import permitted_regions
from bronzeslip.quota import endpoint_permits
from bronzeslip.routes import current
from bronzeslip.settings import entry


class ForwardingComponents(msgspec.Struct, frozen=True):
    """Components of one gateway, each of which has a single instance.

    Attributes:
        settings: Settings of the gateway.
        current: Current configuration.
        endpoints: Directory of the known endpoints.
        in_flight: Requests of this gateway in flight at each endpoint.
        reports: Latest reports of the model engines.
        placement_ledger: Placements of generations that this gateway knows of.
        load_forecaster: Forecasts the load of endpoints.
        failures: Recent failures of endpoints.
        client: Client for calls to endpoints.
        endpoint_chooser: Rates the endpoints for a request.
        placement: Coordinated placement of generations.
        permits: Permits for endpoints that have a limit.
        permitted_chooser: Chooses the endpoint to send a request to.
        copy_target_chooser: Chooses the engines that store standby copies.
        regions: Decides which endpoints a request may reach.
        cold_limits: Limits the requests to cold endpoints.
        releaser: Frees standby copies that are no longer needed.
        retry_budgets: Limits the retries of each service.
        crash_detector: Quarantines requests that crash endpoints.
        attempt_runner: Sends requests, with retries.
        metrics: Metrics of the gateway.
        read_ahead_bytes: Bytes of a stream that are read ahead of a caller that
            reads slowly; 0 to read nothing ahead.
    """

    settings: entry.EntrySettings
    current: current.CurrentTable
    endpoints: directory.EndpointDirectory
    in_flight: in_flight_requests.InFlightRequests
    reports: report_cache.ReportCache
    placement_ledger: placement_ledger.PlacementLedger
    load_forecaster: load_forecast.LoadForecaster
    failures: failure_tracker.FailureTracker
    client: endpoint_client.EndpointClient
    endpoint_chooser: chooser.EndpointChooser
    placement: placement_parts.PlacementParts
    permits: endpoint_permits.EndpointPermits
    permitted_chooser: permitted_chooser.PermittedChooser
    copy_target_chooser: standby_chooser.StandbyChooser
    regions: permitted_regions.PermittedRegionsFilter
    cold_limits: cold_limits.ColdLimits
    releaser: copy_releaser.CopyReleaser
    retry_budgets: service_retry_budgets.ServiceRetryBudgets
    crash_detector: crash_watch.CrashDetector
    attempt_runner: attempts.AttemptRunner
    metrics: entry_metrics.EntryMetrics
    read_ahead_bytes: int = 0
