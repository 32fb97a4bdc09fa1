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
        "is still used, in seconds; the platform's documentation says 2",
        "membership",
        default=2.0,
        minimum=0,
        maximum=60,
    )
    gateway_refresh_s: float = setting(
        "interval between counts of the gateways, in seconds; a gateway uses "
        "its share of common limits some intervals after its start",
        "membership",
        default=3.0,
        minimum=0.05,
        maximum=600,
    )
    store_staleness_s: float = setting(
        "maximum age of what the store returns for reads that may be stale, "
        "in seconds",
        "store",
        default=4.0,
        minimum=0,
        maximum=600,
    )
    store_watch_s: float = setting(
        "maximum duration of a watch call for endpoints, in seconds; "
        "shortened to what the platform's bounds allow",
        "store",
        default=1.5,
        minimum=0.1,
        maximum=30,
    )
    configuration_watch_s: float = setting(
        "maximum duration of a watch call for the configuration, in seconds; "
        "shortened to what the platform's bounds allow",
        "store",
        default=25.0,
        minimum=0.1,
        maximum=30,
    )
    store_batch_s: float = setting(
        "delay after endpoint changes in which further changes are batched, "
        "in seconds",
        "store",
        default=0.1,
        minimum=0,
        maximum=5,
    )
    store_watches_per_s: float = setting(
        "sustained rate of watch calls for endpoints; faster changes are "
        "batched; raised if the platform's drain time requires it",
        "store",
        default=1.0,
        minimum=0.1,
        maximum=100,
    )
    store_watch_burst: float = setting(
        "watch calls for endpoints allowed in a burst above that rate",
        "store",
        default=4.0,
        minimum=1,
        maximum=1000,
    )
    store_timeout_s: float = setting(
        "timeout of a call to the store in addition to its wait, in seconds",
        "store",
        default=0.6,
        minimum=0.05,
        maximum=60,
    )
    store_silence_s: float = setting(
        "time after which a connection to the store that does not respond to "
        "probes is closed, in seconds; limits how long a watch that has gone "
        "silent hides a change",
        "store",
        default=2.0,
        minimum=0.5,
        maximum=60,
    )
    store_backoff_min_s: float = setting(
        "initial delay after a failed call to the store, in seconds",
        "store",
        default=0.1,
        minimum=0.01,
        maximum=60,
    )
    store_backoff_max_s: float = setting(
        "maximum delay after failed calls to the store, in seconds",
        "store",
        default=0.8,
        minimum=0.01,
        maximum=60,
    )
    store_response_max_bytes: int = setting(
        "maximum size of a response of the store, in bytes",
        "store",
        default=8_388_608,
        minimum=65_536,
        maximum=1_073_741_824,
    )
    store_entry_max_bytes: int = setting(
        "maximum size of an endpoint's entry in the store, in bytes; a larger "
        "one is not used",
        "store",
        default=65_536,
        minimum=1_024,
        maximum=16_777_216,
    )
    response_head_max_bytes: int = setting(
        "maximum number of bytes before a response head is complete, interim "
        "responses included",
        "endpoints",
        default=131_072,
        minimum=1_024,
        maximum=16_777_216,
    )
    response_max_bytes: int = setting(
        "maximum size of a response that is buffered before it is forwarded, "
        "in bytes",
        "endpoints",
        default=1_048_576,
        minimum=1_024,
        maximum=1_073_741_824,
    )
    control_response_max_bytes: int = setting(
        "maximum size of a report or of the response to another control call, "
        "in bytes",
        "endpoints",
        default=1_048_576,
        minimum=1_024,
        maximum=1_073_741_824,
    )
    drained_max_bytes: int = setting(
        "bytes of a refusal's body that are read to keep its connection",
        "endpoints",
        default=65_536,
        minimum=0,
        maximum=16_777_216,
    )
    drain_timeout_s: float = setting(
        "time to read a refusal's body before its connection is closed, in "
        "seconds",
        "endpoints",
        default=0.2,
        minimum=0,
        maximum=10,
    )
    event_max_bytes: int = setting(
        "maximum size of one event of a stream, in bytes",
        "endpoints",
        default=1_048_576,
        minimum=1_024,
        maximum=67_108_864,
    )
    connect_timeout_s: float = setting(
        "timeout for connecting to an endpoint, in seconds",
        "endpoints",
        default=0.4,
        minimum=0.05,
        maximum=10,
    )
    endpoint_silence_s: float = setting(
        "time without an acknowledgement after which a connection to an "
        "endpoint is considered lost, in seconds",
        "endpoints",
        default=2.0,
        minimum=0.2,
        maximum=60,
    )
    endpoint_receive_buffer_bytes: int = setting(
        "received bytes of a connection to an endpoint that the kernel holds "
        "while they are not read, in bytes; it may hold up to twice as many",
        "endpoints",
        default=65_536,
        minimum=4_096,
        maximum=16_777_216,
    )
    kept_margin_s: float = setting(
        "safety margin subtracted from an endpoint's stated idle time, in "
        "seconds",
        "endpoints",
        default=0.5,
        minimum=0,
        maximum=60,
    )
    report_interval_s: float = setting(
        "interval between reads of a model engine's report, in seconds",
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
        "interval between report reads for an engine that runs a long "
        "generation of this gateway, in seconds; engines announce their end "
        "about two seconds ahead",
        "endpoints",
        default=0.4,
        minimum=0.05,
        maximum=60,
    )
    lone_report_interval_s: float = setting(
        "interval between report reads while the store is unavailable and "
        "only reports show that an engine is leaving, in seconds",
        "endpoints",
        default=0.25,
        minimum=0.05,
        maximum=60,
    )
    report_timeout_s: float = setting(
        "timeout for reading a report, in seconds",
        "endpoints",
        default=0.5,
        minimum=0.05,
        maximum=10,
    )
    peer_timeout_s: float = setting(
        "timeout of a call to another gateway, in seconds",
        "limits",
        default=0.3,
        minimum=0.01,
        maximum=10,
    )
    peer_silence_s: float = setting(
        "time after which a connection to another gateway that does not "
        "respond to probes is closed, in seconds",
        "limits",
        default=2.0,
        minimum=0.5,
        maximum=60,
    )
    request_deadline_s: float = setting(
        "default deadline of a request, in seconds",
        "limits",
        default=60.0,
        minimum=1,
        maximum=86_400,
    )
    memory_limit_mb: int = setting(
        "memory of the process where the settings file states no limit, in "
        "MB of a million bytes",
        "limits",
        default=512,
        minimum=64,
        maximum=1_048_576,
    )
    drain_notice_s: float = setting(
        "time to keep serving after readiness fails, in seconds; covers two "
        "polls of the platform's load balancer and their latency",
        "shutdown",
        default=2.5,
        minimum=0,
        maximum=60,
    )
    suspect_ttl_s: float = suspects.suspect_ttl_setting()
    suspect_watch_s: float = setting(
        "maximum duration of a watch call for the suspects, in seconds; "
        "shortened to what the platform's bounds allow",
        "store",
        default=25.0,
        minimum=0.1,
        maximum=30,
    )
    placement: Placement = setting(
        "policy for choosing endpoints; round-robin is a baseline",
        "routing",
        default=Placement.COST,
    )
    prefill_tokens_per_s: float = setting(
        "prompt tokens that an engine processes per second; its data sheet "
        "says 14 per millisecond",
        "routing",
        default=14_000.0,
        minimum=1,
        maximum=10_000_000,
    )
    metrics_port: int = setting(
        "port of the metrics page on the callers' address; 0 disables it",
        "http",
        default=0,
        minimum=0,
        maximum=65_535,
    )
    log_format: logs.LogFormat = setting(
        "format of log lines", "logs", default=logs.LogFormat.JSON
    )
    log_level: logs.LogLevel = setting(
        "minimum level of log lines", "logs", default=logs.LogLevel.INFO
    )
