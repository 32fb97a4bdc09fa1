"""Puts the parts of a gateway's forwarding together."""

import random

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_memory
from bronzeslip.endpoints import neighbourhood
from bronzeslip.endpoints import own_load
from bronzeslip.endpoints import report_board
from bronzeslip.endpoints import watched_share
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import attempts
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import copy_releaser
from bronzeslip.forwarding import crash_watch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import gateway_count
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import parts
from bronzeslip.forwarding import pipeline
from bronzeslip.forwarding import repeat_budgets
from bronzeslip.forwarding import request_ledger
from bronzeslip.forwarding import standby_chooser
from bronzeslip.forwarding import stream_forwarder
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import current
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.settings import entry


def create_parts(
    settings: entry.EntrySettings,
    here: vm_config.VmConfig,
    in_force: current.CurrentTable,
    known: directory.EndpointDirectory,
    client: endpoint_client.EndpointClient,
    suspects: suspect_list.SuspectList,
    publisher: suspect_publisher.SuspectPublisher,
    metrics: entry_metrics.EntryMetrics,
    gateways: gateway_count.GatewayCount,
    rng: random.Random,
) -> parts.ForwardingParts:
    """Creates the parts.

    Args:
        settings: Settings.
        here: Place of this gateway.
        in_force: Configuration in force.
        known: Endpoints.
        client: Client of the endpoints.
        suspects: Requests noted at crashes of endpoints.
        publisher: Tells the other gateways of these.
        metrics: Metrics of the gateway.
        gateways: Tells how many gateways there are.
        rng: Source of all draws.
    """
    own = own_load.OwnLoad()
    reports = report_board.ReportBoard()
    failures = failure_memory.FailureMemory()
    near = neighbourhood.Neighbourhood(here, known)
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
            connection_share.ConnectionShare(settings, known, own, gateways),
            rng,
        )
    budgets = repeat_budgets.RepeatBudgets(here.bounds, lambda: gateways.count)
    crashes = crash_watch.CrashWatch(
        suspects, publisher, client, known, settings.suspect_ttl_s
    )
    return parts.ForwardingParts(
        settings=settings,
        current=in_force,
        known=known,
        own=own,
        reports=reports,
        failures=failures,
        client=client,
        chosen=chosen,
        standbys=standby_chooser.StandbyChooser(near, known, reports, rng),
        releaser=copy_releaser.CopyReleaser(client),
        budgets=budgets,
        crashes=crashes,
        attempts=attempts.Attempts(chosen, failures, budgets, crashes, metrics),
        metrics=metrics,
    )


def create_pipeline(
    shared: parts.ForwardingParts, admitting: admission.Admission
) -> pipeline.Pipeline:
    """Creates the way of a request through the parts.

    Args:
        shared: Parts of the gateway.
        admitting: Checks requests against the configuration.
    """
    return pipeline.Pipeline(
        admitting,
        call_forwarder.CallForwarder(shared),
        stream_forwarder.StreamForwarder(shared),
        shared.crashes,
        request_ledger.RequestLedger(shared.metrics),
    )
