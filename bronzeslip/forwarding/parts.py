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
from bronzeslip.forwarding import repeat_budgets
from bronzeslip.forwarding import standby_chooser
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import current
from bronzeslip.settings import entry


class ForwardingParts(msgspec.Struct, frozen=True):
    """Parts of one gateway, each of which exists once.

    Attributes:
        settings: Settings.
        current: Configuration in force.
        known: Endpoints.
        own: Requests under way.
        reports: Reports of the model engines.
        failures: Failures of endpoints.
        client: Client of the endpoints.
        chosen: Chooses endpoints.
        standbys: Chooses engines for standby copies.
        releaser: Frees standby copies.
        budgets: Limits repeats.
        crashes: Keeps requests away that crash endpoints.
        attempts: Tries endpoints.
        metrics: Metrics of the gateway.
    """

    settings: entry.EntrySettings
    current: current.CurrentTable
    known: directory.EndpointDirectory
    own: in_flight_requests.InFlightRequests
    reports: report_cache.ReportCache
    failures: failure_tracker.FailureTracker
    client: endpoint_client.EndpointClient
    chosen: chooser.Chooser
    standbys: standby_chooser.StandbyChooser
    releaser: copy_releaser.CopyReleaser
    budgets: repeat_budgets.RepeatBudgets
    crashes: crash_watch.CrashWatch
    attempts: attempts.Attempts
    metrics: entry_metrics.EntryMetrics
