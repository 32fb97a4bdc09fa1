"""Settings of the gateway."""

import dataclasses

from bronzeslip.settings import common
from bronzeslip.settings import suspects
from bronzeslip.settings import text_format
from bronzeslip.settings.setting import setting


@dataclasses.dataclass(frozen=True)
class GatewaySettings(common.CommonSettings):
    """Settings of one gateway process."""

    operator_credentials_sha256: tuple[str, ...] = setting(
        "SHA-256 digests of operators' credentials",
        "security",
        default=(),
        value_format=text_format.SHA256_DIGESTS,
    )
    max_body_bytes: int = setting(
        "maximum size of a request body, in bytes",
        "limits",
        default=4_000_000,
        minimum=1_000,
        maximum=64_000_000,
    )
    memory_limit_mb: int = setting(
        "memory of the process, in MB of a million bytes; requests beyond it "
        "are refused",
        "limits",
        default=1_024,
        minimum=64,
        maximum=1_048_576,
    )
    body_timeout_s: float = setting(
        "timeout for receiving a request body, in seconds",
        "limits",
        default=60.0,
        minimum=0.1,
        maximum=3600,
    )
    dispatch_attempts: int = setting(
        "maximum number of endpoints to try before refusing a request",
        "routing",
        default=3,
        minimum=1,
        maximum=16,
    )
    resume_timeout_s: float = setting(
        "time to reconnect to a sidecar before its generation is abandoned,"
        " in seconds",
        "routing",
        default=10.0,
        minimum=0.1,
        maximum=3600,
    )
    request_deadline_s: float = setting(
        "default deadline of a request, in seconds",
        "limits",
        default=3600.0,
        minimum=1,
        maximum=86_400,
    )
    suspect_ttl_s: float = suspects.suspect_ttl_setting()
    quick_queue_wait_s: float = setting(
        "expected wait from which the next endpoint is tried instead, in "
        "seconds",
        "routing",
        default=0.05,
        minimum=0,
        maximum=60,
    )
    load_trust_s: float = setting(
        "maximum age of a load report to be used, in seconds",
        "routing",
        default=2.0,
        minimum=0.1,
        maximum=60,
    )
    unknown_load_cost_s: float = setting(
        "cost of an endpoint with unknown load, in seconds of waiting",
        "routing",
        default=0.3,
        minimum=0,
        maximum=60,
    )
    request_cost_s: float = setting(
        "cost of each request at an endpoint, in seconds of waiting",
        "routing",
        default=0.002,
        minimum=0,
        maximum=60,
    )
    request_memory_ratio: float = setting(
        "assumed memory use of a request just sent, as a ratio",
        "routing",
        default=0.03,
        minimum=0,
        maximum=1,
    )
    memory_pressure_start_ratio: float = setting(
        "predicted memory use from which an endpoint is avoided, as a ratio",
        "routing",
        default=0.5,
        minimum=0,
        maximum=1,
    )
    memory_pressure_cost_s: float = setting(
        "cost of fully used memory, in seconds of waiting",
        "routing",
        default=4.0,
        minimum=0,
        maximum=1000,
    )
    prefill_bytes_per_s: float = setting(
        "prompt bytes that an engine processes per second",
        "routing",
        default=100_000.0,
        minimum=100,
        maximum=1_000_000_000,
    )
    slow_endpoint_cost_s: float = setting(
        "cost of steps that take twice the usual time, in seconds of waiting",
        "routing",
        default=4.0,
        minimum=0,
        maximum=1000,
    )
    cross_region_cost_s: float = setting(
        "cost of leaving the region, in seconds of waiting",
        "routing",
        default=0.2,
        minimum=0,
        maximum=1000,
    )
    prefix_spread_factor: float = setting(
        "endpoints that share a prefix, as a multiple of its share of "
        "requests times the pool",
        "routing",
        default=1.0,
        minimum=0.1,
        maximum=100,
    )
    prefix_min_homes: int = setting(
        "minimum number of endpoints that share a prefix",
        "routing",
        default=2,
        minimum=0,
        maximum=64,
    )
    prefix_index_blocks: int = setting(
        "prompt blocks indexed per endpoint",
        "routing",
        default=64,
        minimum=0,
        maximum=1_000_000,
    )
    vm_list_interval_s: float = setting(
        "interval between reads of the platform's list of VMs, in seconds",
        "membership",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
    vm_list_lag_s: float = setting(
        "time after which a VM missing from the list is removed, in seconds",
        "membership",
        default=60.0,
        minimum=0,
        maximum=3600,
    )
    endpoints_per_pool: int = setting(
        "endpoints per pool that a gateway uses in its own region",
        "membership",
        default=32,
        minimum=1,
        maximum=10_000,
    )
    claim_retention_s: float = setting(
        "retention of the claim of an idempotency key, in seconds",
        "claims",
        default=172_800.0,
        minimum=60,
        maximum=2_592_000,
    )
    claim_sweep_interval_s: float = setting(
        "interval between deletions of expired claims, in seconds",
        "claims",
        default=600.0,
        minimum=1,
        maximum=86_400,
    )
    kept_result_bytes: int = setting(
        "maximum size of an answer stored with a claim, in bytes",
        "claims",
        default=16_384,
        minimum=0,
        maximum=500_000,
    )
