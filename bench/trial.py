"""Simulation of one workload under one policy variant."""

import asyncio
import dataclasses
import random

from bench import caller
from bench import incidents
from bench import network_delays
from bench import outcome
from bench import policy_variant
from bench import simulated_engine
from bench import simulated_gateway
from bench import simulated_sidecar
from bench import workload
from bronzeslip import ids
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import cache_index
from standins.engine import model
from tools import shapes

ENGINE_PARAMETERS = model.EngineParameters(
    blocks_total=4096,
    step_base_s=0.018,
    step_per_sequence_s=0.00012,
    step_per_prefill_token_s=0.00002,
)
_REPORT_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True)
class TrialResult:
    """Raw results of a trial.

    Attributes:
        outcomes: One outcome per request.
        preemption_count: Number of preemptions on all engines.
    """

    outcomes: list[outcome.Outcome]
    preemption_count: int


async def run(
    variant: policy_variant.PolicyVariant,
    shape: shapes.DeploymentShape,
    settings: workload.WorkloadSettings,
    seed: int,
    incident: incidents.Incident = incidents.none,
) -> TrialResult:
    """Runs a workload; must be called in a VirtualTimeLoop."""
    delays = network_delays.DELAYS[shape.name]
    sidecars = [
        _create_sidecar(variant, shape, index)
        for index in range(shape.engine_count)
    ]
    gateways = {
        region: _create_gateway(variant, region, sidecars, delays, seed)
        for region in shape.regions
    }
    background = [
        asyncio.create_task(receiver.receive_heartbeats(target))
        for receiver in gateways.values()
        for target in sidecars
    ]
    background += [
        asyncio.create_task(_report_load(target)) for target in sidecars
    ]
    background.append(asyncio.create_task(incident(sidecars)))
    rng = random.Random(seed)
    outcomes = [
        outcome.Outcome(arrival)
        for arrival in workload.generate(shape, settings, seed)
    ]
    await asyncio.gather(
        *(
            caller.send_with_retries(
                result, gateways[result.arrival.region], delays.to_caller_s, rng
            )
            for result in outcomes
        )
    )
    for task in background:
        task.cancel()
    return TrialResult(
        outcomes,
        sum(target.engine.model.preemptions_total for target in sidecars),
    )


async def _report_load(target: simulated_sidecar.SimulatedSidecar) -> None:
    apply_report = getattr(target.gate, "apply_report", None)
    while apply_report is not None:
        report = target.report() if target.report else None
        events = target.engine.cache_events(target.cache.last_sequence)
        await asyncio.sleep(_REPORT_DELAY_S)
        if report is None:
            continue
        apply_report(report)
        target.cache.apply_events(events, target.gate.block_bytes)


def _create_sidecar(
    variant: policy_variant.PolicyVariant,
    shape: shapes.DeploymentShape,
    index: int,
) -> simulated_sidecar.SimulatedSidecar:
    region = ids.RegionName(shape.regions[index % len(shape.regions)])
    name = f"{shape.engine_pool}-{index}"
    settings = sidecar.SidecarSettings(
        **_common_settings(region),
        endpoint_id=ids.EndpointId(name),
        pool=ids.PoolName(shape.engine_pool),
        endpoint_url="",
        **variant.sidecar_overrides,
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
        simulated_engine.SimulatedEngine(ENGINE_PARAMETERS),
        variant.create_gate(settings),
        cache_index.CacheIndex(settings),
    )


def _create_gateway(
    variant: policy_variant.PolicyVariant,
    region: str,
    sidecars: list[simulated_sidecar.SimulatedSidecar],
    delays: network_delays.NetworkDelays,
    seed: int,
) -> simulated_gateway.SimulatedGateway:
    settings = gateway.GatewaySettings(
        **_common_settings(region), **variant.gateway_overrides
    )
    rng = random.Random(f"{seed} {region}")
    return simulated_gateway.SimulatedGateway(
        settings,
        variant.create_policy(settings, rng),
        sidecars,
        delays,
        variant is policy_variant.ORACLE,
    )


def _common_settings(region: str) -> dict[str, str]:
    return {
        "vm_id": "vm",
        "region": region,
        "failure_domain": f"{region}-1",
        "peer_key": "",
        "platform_url": "",
    }
