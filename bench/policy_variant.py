"""Policy variants that the experiment compares."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from bench import baselines
from bench import count_gate
from bench import oracle
from bench import simulated_sidecar
from bronzeslip.admission import memory_gate
from bronzeslip.routing import policy
from bronzeslip.routing import prefix_load
from bronzeslip.settings import gateway
from bronzeslip.settings import sidecar


@dataclasses.dataclass(frozen=True)
class PolicyVariant:
    """Combination of a routing policy, an admission gate and settings.

    Attributes:
        name: Name in the tables and on the command line.
        create_policy: Creates the routing policy of a gateway.
        create_gate: Creates the admission gate of a sidecar.
        gateway_overrides: Gateway settings that differ from the defaults.
        sidecar_overrides: Sidecar settings that differ from the defaults.
    """

    name: str
    create_policy: Callable[
        [gateway.GatewaySettings, random.Random], policy.RoutingPolicy
    ] = prefix_load.PrefixLoadPolicy
    create_gate: Callable[[sidecar.SidecarSettings], simulated_sidecar.Gate] = (
        memory_gate.MemoryGate
    )
    gateway_overrides: dict[str, Any] = dataclasses.field(default_factory=dict)
    sidecar_overrides: dict[str, Any] = dataclasses.field(default_factory=dict)


def _least_outstanding(
    settings: gateway.GatewaySettings, rng: random.Random
) -> policy.RoutingPolicy:
    return baselines.least_outstanding(rng)


BASELINES = (
    PolicyVariant(
        "round-robin",
        lambda settings, rng: baselines.RoundRobinPolicy(),
        count_gate.CountGate,
    ),
    PolicyVariant(
        "least-outstanding", _least_outstanding, count_gate.CountGate
    ),
    PolicyVariant(
        "least-reported",
        lambda settings, rng: baselines.least_reported(rng),
        count_gate.CountGate,
    ),
    PolicyVariant(
        "prefix-affinity",
        lambda settings, rng: baselines.PrefixAffinityPolicy(),
        count_gate.CountGate,
    ),
)

PRODUCT = PolicyVariant("ours")

ABLATIONS = (
    PolicyVariant("no-memory-admission", create_gate=count_gate.CountGate),
    PolicyVariant("no-routing", create_policy=_least_outstanding),
    PolicyVariant(
        "no-lengths",
        create_gate=lambda settings: memory_gate.MemoryGate(
            settings, oracle.PriorOnlyEstimator()
        ),
    ),
    PolicyVariant("no-floor", sidecar_overrides={"draft_floor_ratio": 0.0}),
    PolicyVariant(
        "no-reserve", sidecar_overrides={"interactive_reserve_ratio": 0.0}
    ),
    PolicyVariant(
        "no-prefix",
        gateway_overrides={"prefix_index_blocks": 0, "prefix_min_homes": 0},
    ),
    PolicyVariant(
        "no-pressure", gateway_overrides={"memory_pressure_cost_s": 0.0}
    ),
    PolicyVariant("no-region", gateway_overrides={"cross_region_cost_s": 0.0}),
    PolicyVariant(
        "no-quick-refusal", gateway_overrides={"dispatch_attempts": 1}
    ),
)

ORACLE = PolicyVariant(
    "oracle",
    create_gate=lambda settings: memory_gate.MemoryGate(
        settings, oracle.OracleEstimator()
    ),
)

ALL = {
    variant.name: variant
    for variant in (
        *BASELINES,
        PRODUCT,
        ORACLE,
        *ABLATIONS,
    )
}
DEFAULT_NAMES = (
    *(variant.name for variant in BASELINES),
    PRODUCT.name,
    ORACLE.name,
)
