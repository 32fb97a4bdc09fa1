"""Settings of the sidecar."""

import dataclasses

from bronzeslip import ids
from bronzeslip.settings import common
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting


@dataclasses.dataclass(frozen=True)
class SidecarSettings(common.CommonSettings):
    """Settings of one sidecar process."""

    endpoint_id: ids.EndpointId = setting("id of the endpoint", "identity")
    pool: ids.PoolName = setting("pool the endpoint belongs to", "identity")
    endpoint_url: str = setting(
        "base URL of the endpoint",
        "endpoint",
        value_format=text_format.HTTP_URL,
    )
    max_queued_requests: int = setting(
        "maximum number of queued requests; further ones are refused",
        "admission",
        default=64,
        minimum=0,
        maximum=100_000,
    )
    max_running_requests: int = setting(
        "maximum number of concurrent requests on the endpoint",
        "admission",
        default=64,
        minimum=1,
        maximum=100_000,
    )
    response_max_bytes: int = setting(
        "maximum size of the endpoint's response to a call, in bytes",
        "endpoint",
        default=4_194_304,
        minimum=1_024,
        maximum=67_108_864,
    )
    memory_overflow_probability: float = setting(
        "accepted probability that admitted work exceeds the engine's memory",
        "admission",
        default=0.1,
        minimum=0.0001,
        maximum=0.5,
    )
    draft_floor_ratio: float = setting(
        "ratio of the engine's memory that short requests leave to waiting "
        "drafts",
        "admission",
        default=0.6,
        minimum=0,
        maximum=1,
    )
    interactive_reserve_ratio: float = setting(
        "ratio of the engine's memory that drafts leave to short requests",
        "admission",
        default=0.04,
        minimum=0,
        maximum=1,
    )
    queue_ageing_ratio: float = setting(
        "engine time that one second of waiting compensates, in seconds",
        "admission",
        default=0.5,
        minimum=0,
        maximum=100,
    )
    load_poll_interval_s: float = setting(
        "interval between reads of the engine's load, in seconds",
        "admission",
        default=0.5,
        minimum=0.05,
        maximum=60,
    )
    cache_digest_prefixes: int = setting(
        "shared prefixes reported to gateways with each load report",
        "admission",
        default=24,
        minimum=0,
        maximum=1000,
    )
    generation_grace_s: float = setting(
        "time for which a finished generation stays readable, in seconds",
        "generation",
        default=60.0,
        minimum=0,
        maximum=3600,
    )
    orphan_timeout_s: float = setting(
        "time for which a generation runs without a reader, in seconds",
        "generation",
        default=30.0,
        minimum=0.1,
        maximum=3600,
    )
    dispatch_window_s: float = setting(
        "maximum age of an accepted call dispatch ticket, in seconds",
        "calls",
        default=10.0,
        minimum=0.1,
        maximum=600,
    )
    call_grace_s: float = setting(
        "retention of the outcome of a finished call, in seconds",
        "calls",
        default=120.0,
        minimum=0,
        maximum=3600,
    )
    kept_calls_bytes: int = setting(
        "maximum size of the answers kept for finished calls, in bytes",
        "calls",
        default=32_000_000,
        minimum=0,
        maximum=1_000_000_000,
    )
    engine_silence_timeout_s: float = setting(
        "silence after which an engine's stream is resumed, in seconds",
        "endpoint",
        default=2.0,
        minimum=0.05,
        maximum=600,
    )
    engine_loss_timeout_s: float = setting(
        "time without a response from the engine after which its"
        " generations are considered lost, in seconds",
        "endpoint",
        default=10.0,
        minimum=0.05,
        maximum=3600,
    )
    order_check_interval_s: float = setting(
        "interval between comparisons of the engine with its pool, in seconds",
        "orders",
        default=5.0,
        minimum=0.05,
        maximum=600,
    )
    order_lease_ttl_s: float = setting(
        "time to live of order leases, in seconds",
        "orders",
        default=10.0,
        minimum=0.5,
        maximum=600,
    )
    reclaim_notice_s: float = setting(
        "time from an engine's reclaim notice to its end, in seconds",
        "shutdown",
        default=30.0,
        minimum=0,
        maximum=86_400,
    )
