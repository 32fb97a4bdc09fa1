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
        "requests held before new ones are refused",
        "admission",
        default=64,
        minimum=0,
        maximum=100_000,
    )
    max_running_requests: int = setting(
        "requests running on the endpoint at once",
        "admission",
        default=64,
        minimum=1,
        maximum=100_000,
    )
    memory_overflow_probability: float = setting(
        "chance that admitted work outgrows the engine's memory",
        "admission",
        default=0.1,
        minimum=0.0001,
        maximum=0.5,
    )
    draft_floor_ratio: float = setting(
        "share of the engine's memory that short requests leave to waiting "
        "drafts",
        "admission",
        default=0.6,
        minimum=0,
        maximum=1,
    )
    interactive_reserve_ratio: float = setting(
        "share of the engine's memory that drafts leave to short requests",
        "admission",
        default=0.04,
        minimum=0,
        maximum=1,
    )
    queue_ageing_ratio: float = setting(
        "engine time that one second of waiting makes up for, in seconds",
        "admission",
        default=0.5,
        minimum=0,
        maximum=100,
    )
    load_poll_interval_s: float = setting(
        "time between reads of the engine's load, in seconds",
        "admission",
        default=0.5,
        minimum=0.05,
        maximum=60,
    )
    cache_digest_prefixes: int = setting(
        "shared prefixes told to gateways with each load",
        "admission",
        default=24,
        minimum=0,
        maximum=1000,
    )
    generation_grace_s: float = setting(
        "time a finished generation stays readable, in seconds",
        "generation",
        default=60.0,
        minimum=0,
        maximum=3600,
    )
    orphan_timeout_s: float = setting(
        "time a generation runs on without a reader, in seconds",
        "generation",
        default=30.0,
        minimum=0.1,
        maximum=3600,
    )
    dispatch_window_s: float = setting(
        "age up to which a ticket to dispatch a call is accepted, in seconds",
        "calls",
        default=10.0,
        minimum=0.1,
        maximum=600,
    )
    call_grace_s: float = setting(
        "time the outcome of an ended call is kept, in seconds",
        "calls",
        default=120.0,
        minimum=0,
        maximum=3600,
    )
    kept_calls_bytes: int = setting(
        "most bytes of answers kept for ended calls",
        "calls",
        default=32_000_000,
        minimum=0,
        maximum=1_000_000_000,
    )
    engine_silence_timeout_s: float = setting(
        "silence of an engine's stream after which it is resumed, in seconds",
        "endpoint",
        default=2.0,
        minimum=0.05,
        maximum=600,
    )
    engine_loss_timeout_s: float = setting(
        "time without an answer of the engine after which its generations"
        " are lost, in seconds",
        "endpoint",
        default=10.0,
        minimum=0.05,
        maximum=3600,
    )
    order_check_interval_s: float = setting(
        "time between comparisons of the engine with its pool, in seconds",
        "orders",
        default=5.0,
        minimum=0.05,
        maximum=600,
    )
    order_lease_ttl_s: float = setting(
        "time to live of the leases for orders, in seconds",
        "orders",
        default=10.0,
        minimum=0.5,
        maximum=600,
    )
    reclaim_notice_s: float = setting(
        "time from the engine's notice of reclaim to its end, in seconds",
        "shutdown",
        default=30.0,
        minimum=0,
        maximum=86_400,
    )
