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
        "largest request body, in bytes",
        "limits",
        default=4_000_000,
        minimum=1_000,
        maximum=64_000_000,
    )
    body_timeout_s: float = setting(
        "longest wait for a whole request body, in seconds",
        "limits",
        default=60.0,
        minimum=0.1,
        maximum=3600,
    )
    dispatch_attempts: int = setting(
        "endpoints tried before a request is refused",
        "routing",
        default=3,
        minimum=1,
        maximum=16,
    )
    resume_timeout_s: float = setting(
        "time to reach a sidecar again before its generation is given up,"
        " in seconds",
        "routing",
        default=10.0,
        minimum=0.1,
        maximum=3600,
    )
    request_deadline_s: float = setting(
        "deadline of a request that names none, in seconds",
        "limits",
        default=3600.0,
        minimum=1,
        maximum=86_400,
    )
    suspect_ttl_s: float = suspects.suspect_ttl_setting()
    quick_queue_wait_s: float = setting(
        "expected wait at which an endpoint is passed over for the next, in "
        "seconds",
        "routing",
        default=0.05,
        minimum=0,
        maximum=60,
    )
    load_trust_s: float = setting(
        "age up to which a load report is believed, in seconds",
        "routing",
        default=2.0,
        minimum=0.1,
        maximum=60,
    )
    unknown_load_cost_s: float = setting(
        "price of an endpoint of unknown load, in seconds of waiting",
        "routing",
        default=0.3,
        minimum=0,
        maximum=60,
    )
    request_cost_s: float = setting(
        "price of each request that an endpoint has, in seconds of waiting",
        "routing",
        default=0.002,
        minimum=0,
        maximum=60,
    )
    request_memory_ratio: float = setting(
        "memory that a request just sent is taken to need, as a share",
        "routing",
        default=0.03,
        minimum=0,
        maximum=1,
    )
    memory_pressure_start_ratio: float = setting(
        "predicted use of memory from which an endpoint is avoided",
        "routing",
        default=0.5,
        minimum=0,
        maximum=1,
    )
    memory_pressure_cost_s: float = setting(
        "price of memory in full use, in seconds of waiting",
        "routing",
        default=4.0,
        minimum=0,
        maximum=1000,
    )
    prefill_bytes_per_s: float = setting(
        "bytes of prompt that an engine computes in a second",
        "routing",
        default=100_000.0,
        minimum=100,
        maximum=1_000_000_000,
    )
    slow_endpoint_cost_s: float = setting(
        "price of steps of twice the usual time, in seconds of waiting",
        "routing",
        default=4.0,
        minimum=0,
        maximum=1000,
    )
    cross_region_cost_s: float = setting(
        "price of leaving the region, in seconds of waiting",
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
        "endpoints that share a prefix at least",
        "routing",
        default=2,
        minimum=0,
        maximum=64,
    )
    prefix_index_blocks: int = setting(
        "prompt blocks remembered for each endpoint",
        "routing",
        default=64,
        minimum=0,
        maximum=1_000_000,
    )
    vm_list_interval_s: float = setting(
        "time between reads of the platform's list of VMs, in seconds",
        "membership",
        default=5.0,
        minimum=0.1,
        maximum=600,
    )
    vm_list_lag_s: float = setting(
        "time that a VM must be missing from the list to be gone, in seconds",
        "membership",
        default=60.0,
        minimum=0,
        maximum=3600,
    )
    endpoints_per_pool: int = setting(
        "endpoints of its own region that a gateway uses of each pool",
        "membership",
        default=32,
        minimum=1,
        maximum=10_000,
    )
    claim_retention_s: float = setting(
        "time the claim of an idempotency key is kept, in seconds",
        "claims",
        default=172_800.0,
        minimum=60,
        maximum=2_592_000,
    )
    claim_sweep_interval_s: float = setting(
        "time between sweeps for claims past their retention, in seconds",
        "claims",
        default=600.0,
        minimum=1,
        maximum=86_400,
    )
    kept_result_bytes: int = setting(
        "largest answer kept with a claim, in bytes",
        "claims",
        default=16_384,
        minimum=0,
        maximum=500_000,
    )
