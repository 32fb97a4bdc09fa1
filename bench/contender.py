"""The policies that an experiment compares."""

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
class Contender:
    """One policy: a choice of endpoints and an admission.

    Attributes:
        name: Name in the tables.
        create_policy: Creates the routing policy of one gateway.
        create_gate: Creates the admission of one sidecar.
        gateway_changes: Settings of the gateways that differ.
        sidecar_changes: Settings of the sidecars that differ.
    """

    name: str
    create_policy: Callable[
        [gateway.GatewaySettings, random.Random], policy.RoutingPolicy
    ] = prefix_load.PrefixLoadPolicy
    create_gate: Callable[[sidecar.SidecarSettings], simulated_sidecar.Gate] = (
        memory_gate.MemoryGate
    )
    gateway_changes: dict[str, Any] = dataclasses.field(default_factory=dict)
    sidecar_changes: dict[str, Any] = dataclasses.field(default_factory=dict)


def _least_outstanding(
    settings: gateway.GatewaySettings, rng: random.Random
) -> policy.RoutingPolicy:
    return baselines.least_outstanding(rng)


BASELINES = (
    Contender(
        "round-robin",
        lambda settings, rng: baselines.RoundRobinPolicy(),
        count_gate.CountGate,
    ),
    Contender("least-outstanding", _least_outstanding, count_gate.CountGate),
    Contender(
        "least-reported",
        lambda settings, rng: baselines.least_reported(rng),
        count_gate.CountGate,
    ),
    Contender(
        "prefix-affinity",
        lambda settings, rng: baselines.PrefixAffinityPolicy(),
        count_gate.CountGate,
    ),
)

OURS = Contender("ours")

WITHOUT_PARTS = (
    Contender("no-memory-admission", create_gate=count_gate.CountGate),
    Contender("no-routing", create_policy=_least_outstanding),
    Contender(
        "no-lengths",
        create_gate=lambda settings: memory_gate.MemoryGate(
            settings, oracle.BlindEstimator()
        ),
    ),
    Contender("no-floor", sidecar_changes={"draft_floor_ratio": 0.0}),
    Contender("no-reserve", sidecar_changes={"interactive_reserve_ratio": 0.0}),
    Contender(
        "no-prefix",
        gateway_changes={"prefix_index_blocks": 0, "prefix_min_homes": 0},
    ),
    Contender("no-pressure", gateway_changes={"memory_pressure_cost_s": 0.0}),
    Contender("no-region", gateway_changes={"cross_region_cost_s": 0.0}),
    Contender("no-quick-refusal", gateway_changes={"dispatch_attempts": 1}),
)

ORACLE = Contender(
    "oracle",
    create_gate=lambda settings: memory_gate.MemoryGate(
        settings, oracle.OracleEstimator()
    ),
)

ALL = {
    one.name: one
    for one in (
        *BASELINES,
        OURS,
        ORACLE,
        *WITHOUT_PARTS,
    )
}
MAIN = (*(one.name for one in BASELINES), OURS.name, ORACLE.name)
