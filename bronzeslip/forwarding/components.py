"""Parts that the forwarding of requests works with."""

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
from bronzeslip.forwarding import service_retry_budgets
from bronzeslip.forwarding import standby_chooser
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import current
from bronzeslip.settings import entry


class ForwardingComponents(msgspec.Struct, frozen=True):
    """Parts of one gateway, each of which exists once.

    Attributes:
        settings: Settings.
        current: Configuration in force.
        endpoints: Endpoints.
        in_flight: Requests under way.
        reports: Reports of the model engines.
        failures: Failures of endpoints.
        client: Client of the endpoints.
        endpoint_chooser: Chooses endpoints.
        copy_targets: Chooses engines for standby copies.
        releaser: Frees standby copies.
        retry_budgets: Limits repeats.
        crash_detector: Keeps requests away that crash endpoints.
        attempt_runner: Tries endpoints.
        metrics: Metrics of the gateway.
    """

    settings: entry.EntrySettings
    current: current.CurrentTable
    endpoints: directory.EndpointDirectory
    in_flight: in_flight_requests.InFlightRequests
    reports: report_cache.ReportCache
    failures: failure_tracker.FailureTracker
    client: endpoint_client.EndpointClient
    endpoint_chooser: chooser.EndpointChooser
    copy_targets: standby_chooser.StandbyChooser
    releaser: copy_releaser.CopyReleaser
    retry_budgets: service_retry_budgets.ServiceRetryBudgets
    crash_detector: crash_watch.CrashDetector
    attempt_runner: attempts.AttemptRunner
    metrics: entry_metrics.EntryMetrics
