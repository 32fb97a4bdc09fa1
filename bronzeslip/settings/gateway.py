"""Settings of the gateway."""

import dataclasses

from bronzeslip.settings import common
from bronzeslip.settings import text_form
from bronzeslip.settings.setting import setting


@dataclasses.dataclass(frozen=True)
class GatewaySettings(common.CommonSettings):
    """Settings of one gateway process."""

    operator_credentials_sha256: tuple[str, ...] = setting(
        "SHA-256 digests of operators' credentials",
        "security",
        default=(),
        form=text_form.SHA256_DIGESTS,
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
