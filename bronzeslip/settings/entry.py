"""Settings of the entry gateway, which calls endpoints directly."""

import dataclasses
import enum

from bronzeslip import logs
from bronzeslip.settings import suspects
from bronzeslip.settings.setting import setting


class Placement(enum.Enum):
    """Policy for choosing endpoints."""

    COST = "cost"
    ROUND_ROBIN = "round-robin"


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of one entry gateway process."""

    lapse_grace_s: float = setting(
        "time after an outage of the store during which a missing endpoint "
        "is still used, in seconds; the platform's pages give two",
        "membership",
        default=2.0,
        minimum=0,
        maximum=60,
    )
    store_watch_s: float = setting(
        "longest wait of one watch at the store, in seconds; bounds how long "
        "a silent connection goes unnoticed",
        "store",
        default=1.5,
        minimum=0.1,
        maximum=30,
    )
    configuration_watch_s: float = setting(
        "the same for the configuration, whose changes have seconds to come "
        "into force",
        "store",
        default=2.5,
        minimum=0.1,
        maximum=30,
    )
    store_batch_s: float = setting(
        "pause after changes of endpoints, in which further ones come "
        "together, in seconds",
        "store",
        default=0.1,
        minimum=0,
        maximum=5,
    )
    store_watches_per_s: float = setting(
        "lasting rate of watches of endpoints; changes that come faster are "
        "learned together",
        "store",
        default=1.0,
        minimum=0.1,
        maximum=100,
    )
    store_watch_burst: float = setting(
        "watches of endpoints that may follow each other without that bound",
        "store",
        default=4.0,
        minimum=1,
        maximum=1000,
    )
    store_timeout_s: float = setting(
        "timeout of one call to the store beyond its wait, in seconds",
        "store",
        default=0.6,
        minimum=0.05,
        maximum=60,
    )
    store_backoff_min_s: float = setting(
        "first pause after a failed call to the store, in seconds",
        "store",
        default=0.1,
        minimum=0.01,
        maximum=60,
    )
    store_backoff_max_s: float = setting(
        "longest pause after failed calls to the store, in seconds",
        "store",
        default=0.8,
        minimum=0.01,
        maximum=60,
    )
    connect_timeout_s: float = setting(
        "longest wait for a connection to an endpoint, in seconds",
        "endpoints",
        default=0.4,
        minimum=0.05,
        maximum=10,
    )
    endpoint_silence_s: float = setting(
        "time without an acknowledgement after which a connection to an "
        "endpoint counts as lost, in seconds",
        "endpoints",
        default=2.0,
        minimum=0.2,
        maximum=60,
    )
    kept_margin_s: float = setting(
        "part of an endpoint's stated idle time that is left unused, in "
        "seconds",
        "endpoints",
        default=0.5,
        minimum=0,
        maximum=60,
    )
    report_interval_s: float = setting(
        "time between two readings of a model engine's report, in seconds",
        "endpoints",
        default=1.0,
        minimum=0.05,
        maximum=60,
    )
    # The default follows from docs/measurements/platform-days.md.
    watched_endpoints: int = setting(
        "endpoints of a service that a gateway reads and chooses from",
        "endpoints",
        default=5,
        minimum=1,
        maximum=10_000,
    )
    busy_report_interval_s: float = setting(
        "the same for an engine that runs a long generation of this gateway, "
        "in seconds; a notice is given some two seconds before the end",
        "endpoints",
        default=0.4,
        minimum=0.05,
        maximum=60,
    )
    lone_report_interval_s: float = setting(
        "the same while the store is away, when only reports tell that an "
        "engine leaves, in seconds",
        "endpoints",
        default=0.25,
        minimum=0.05,
        maximum=60,
    )
    report_timeout_s: float = setting(
        "longest wait for a report, in seconds",
        "endpoints",
        default=0.5,
        minimum=0.05,
        maximum=10,
    )
    request_deadline_s: float = setting(
        "deadline of a request that names none, in seconds",
        "limits",
        default=60.0,
        minimum=1,
        maximum=86_400,
    )
    drain_notice_s: float = setting(
        "time to stay open after readiness fails, in seconds; two polls of "
        "the platform's balancer and its way",
        "shutdown",
        default=2.5,
        minimum=0,
        maximum=60,
    )
    suspect_ttl_s: float = suspects.suspect_ttl_setting()
    suspect_watch_s: float = setting(
        "longest wait of one watch of the suspects, which seldom change, in "
        "seconds",
        "store",
        default=20.0,
        minimum=0.1,
        maximum=30,
    )
    placement: Placement = setting(
        "how endpoints are chosen; round-robin is a baseline",
        "routing",
        default=Placement.COST,
    )
    prefill_tokens_per_s: float = setting(
        "tokens of prompts that an engine reads in a second; the users' "
        "sheets give 14 a millisecond",
        "routing",
        default=14_000.0,
        minimum=1,
        maximum=10_000_000,
    )
    metrics_port: int = setting(
        "port of the metrics page on the address for callers, 0 for none",
        "http",
        default=0,
        minimum=0,
        maximum=65_535,
    )
    log_format: logs.LogFormat = setting(
        "form of log lines", "logs", default=logs.LogFormat.JSON
    )
    log_level: logs.LogLevel = setting(
        "lowest level logged", "logs", default=logs.LogLevel.INFO
    )
