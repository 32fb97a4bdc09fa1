"""The policies that an experiment compares."""

from collections.abc import Callable
import dataclasses
import random

from bench import baselines
from bench import count_gate
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
    """

    name: str
    create_policy: Callable[
        [gateway.GatewaySettings, random.Random], policy.RoutingPolicy
    ]
    create_gate: Callable[[sidecar.SidecarSettings], simulated_sidecar.Gate]


BASELINES = (
    Contender(
        "round-robin",
        lambda settings, rng: baselines.RoundRobinPolicy(),
        count_gate.CountGate,
    ),
    Contender(
        "least-outstanding",
        lambda settings, rng: baselines.least_outstanding(rng),
        count_gate.CountGate,
    ),
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

ADMISSION = (
    Contender(
        "least-outstanding+memory",
        lambda settings, rng: baselines.least_outstanding(rng),
        memory_gate.MemoryGate,
    ),
    Contender("ours", prefix_load.PrefixLoadPolicy, memory_gate.MemoryGate),
)
