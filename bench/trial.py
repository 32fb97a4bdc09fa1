"""One morning under one policy."""

import asyncio
import dataclasses
import random

from bench import caller
from bench import contender
from bench import distances
from bench import incidents
from bench import morning
from bench import outcome
from bench import simulated_engine
from bench import simulated_gateway
from bench import simulated_sidecar
from bronzeslip import ids
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import cache_index
from standins.engine import model
from tools import shapes

ENGINE_SHAPE = model.EngineShape(
    blocks_total=4096,
    step_base_s=0.018,
    step_per_sequence_s=0.00012,
    step_per_prefill_token_s=0.00002,
)
_LOAD_LAG_S = 0.5


@dataclasses.dataclass(frozen=True)
class TrialResult:
    """What a trial left behind.

    Attributes:
        outcomes: One for each request.
        preemption_count: Preemptions at all engines.
    """

    outcomes: list[outcome.Outcome]
    preemption_count: int


async def run(
    chosen: contender.Contender,
    shape: shapes.DeploymentShape,
    settings: morning.MorningSettings,
    seed: int,
    incident: incidents.Incident = incidents.none,
) -> TrialResult:
    """Runs a morning; call it in a virtual loop."""
    places = distances.DISTANCES[shape.name]
    sidecars = [
        _sidecar(chosen, shape, index) for index in range(shape.engine_count)
    ]
    gateways = {
        region: _gateway(chosen, region, sidecars, places, seed)
        for region in shape.regions
    }
    background = [
        asyncio.create_task(one.beat(target))
        for one in gateways.values()
        for target in sidecars
    ]
    background += [asyncio.create_task(_report(one)) for one in sidecars]
    background.append(asyncio.create_task(incident(sidecars)))
    rng = random.Random(seed)
    outcomes = [
        outcome.Outcome(arrival)
        for arrival in morning.create(shape, settings, seed)
    ]
    await asyncio.gather(
        *(
            caller.call(
                result, gateways[result.arrival.region], places.to_caller_s, rng
            )
            for result in outcomes
        )
    )
    for task in background:
        task.cancel()
    return TrialResult(
        outcomes, sum(one.engine.model.preemptions_total for one in sidecars)
    )


async def _report(one: simulated_sidecar.SimulatedSidecar) -> None:
    take = getattr(one.gate, "apply_report", None)
    while take is not None:
        report = one.report() if one.report else None
        events = one.engine.cache_events(one.cache.last_sequence)
        await asyncio.sleep(_LOAD_LAG_S)
        if report is None:
            continue
        take(report)
        one.cache.apply_events(events, one.gate.block_bytes)


def _sidecar(
    chosen: contender.Contender, shape: shapes.DeploymentShape, index: int
) -> simulated_sidecar.SimulatedSidecar:
    region = ids.RegionName(shape.regions[index % len(shape.regions)])
    name = f"{shape.engine_pool}-{index}"
    settings = sidecar.SidecarSettings(
        **_common(region),
        endpoint_id=ids.EndpointId(name),
        pool=ids.PoolName(shape.engine_pool),
        endpoint_url="",
        **chosen.sidecar_changes,
    )
    self_member = member.Member(
        vm_id=ids.VmId(name),
        incarnation_id=ids.IncarnationId(name),
        role=member.MemberRole.SIDECAR,
        region=region,
        failure_domain=settings.failure_domain,
        address=name,
        endpoint_id=settings.endpoint_id,
        pool=settings.pool,
    )
    return simulated_sidecar.SimulatedSidecar(
        self_member,
        simulated_engine.SimulatedEngine(ENGINE_SHAPE),
        chosen.create_gate(settings),
        cache_index.CacheIndex(settings),
    )


def _gateway(
    chosen: contender.Contender,
    region: str,
    sidecars: list[simulated_sidecar.SimulatedSidecar],
    places: distances.Distances,
    seed: int,
) -> simulated_gateway.SimulatedGateway:
    settings = gateway.GatewaySettings(
        **_common(region), **chosen.gateway_changes
    )
    rng = random.Random(f"{seed} {region}")
    return simulated_gateway.SimulatedGateway(
        settings,
        chosen.create_policy(settings, rng),
        sidecars,
        places,
        chosen is contender.ORACLE,
    )


def _common(region: str) -> dict[str, str]:
    return {
        "vm_id": "vm",
        "region": region,
        "failure_domain": f"{region}-1",
        "peer_key": "",
        "platform_url": "",
    }
