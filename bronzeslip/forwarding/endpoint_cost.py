"""Cost of sending a request to an endpoint."""

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import failure_tracker
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import load_forecast

# Costs are in seconds that a caller waits. One failure costs half a second, so
# that two failures outweigh a typical queue.
_FAILURE_COST_S = 0.5
_SLOT_LOAD_COST_S = 0.3
_OTHER_DOMAIN_COST_S = 0.02
_OTHER_REGION_COST_S = 0.04
_WARMUP_COST_S = 0.3
# A long generation is lost if its engine shuts down and the neighbours have no
# free memory. The cost is half a second for an output of 1,000 tokens.
_EVACUATION_RISK_TOKEN_COST_S = 0.0005
# The runs of an engine that cannot be evacuated to its neighbours share its
# network link for copies to other regions.
_EVACUATION_RISK_RUN_COST_S = 0.05
# An event of a stream on a VM that is always slow comes too late once a
# neighbour slows the VM further: 0.2 s after the one before at a usual pace of
# 1.3, against 0.16 s at 1.0 and an objective of 0.18 s. Long generations meet
# such a phase nearly always, so they wait rather than go there.
_PAUSE_RISK_COST_S = 4.0
# Share of their memory to which the neighbours of a leaving engine are filled.
_EVACUATION_SHARE = 0.8
# Engines preempt runs when their memory is full, so the cost of memory grows
# quadratically above this share.
_MEMORY_PRESSURE_START = 0.6
_MEMORY_COST_S = 8.0


class EndpointCost:
    """Rates endpoints by the time that a request would wait there."""

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        failures: failure_tracker.FailureTracker,
    ) -> None:
        """Initializes the cost.

        Args:
            this_vm: Region of each failure domain.
            failures: Recent failures of endpoints.
        """
        self._this_vm = this_vm
        self._failures = failures

    def cost_s(
        self,
        candidate: endpoint.Endpoint,
        forecast: load_forecast.EndpointForecast,
        sender_domain: ids.FailureDomainName,
    ) -> float:
        """Returns the cost of an endpoint, in seconds.

        Args:
            candidate: The endpoint.
            forecast: Its load if it receives the request.
            sender_domain: Failure domain of the gateway that sends it.
        """
        pressure = max(forecast.memory_use - _MEMORY_PRESSURE_START, 0.0)
        cost_s = forecast.prefill_s + forecast.own_prefill_s
        cost_s += _SLOT_LOAD_COST_S * forecast.slot_load * forecast.pace
        cost_s += _MEMORY_COST_S * pressure * pressure
        cost_s += _FAILURE_COST_S * self._failures.score_of(
            candidate.endpoint_id
        )
        cost_s += _WARMUP_COST_S if candidate.warmup_remaining_s > 0 else 0.0
        return cost_s + self._distance_cost_s(candidate, sender_domain)

    def _distance_cost_s(
        self,
        candidate: endpoint.Endpoint,
        sender_domain: ids.FailureDomainName,
    ) -> float:
        if candidate.failure_domain == sender_domain:
            return 0.0
        regions = self._this_vm.regions
        sender_region = regions.get(sender_domain)
        if (
            sender_region is not None
            and regions.get(candidate.failure_domain) == sender_region
        ):
            return _OTHER_DOMAIN_COST_S
        return _OTHER_REGION_COST_S


def can_be_evacuated(
    used_tokens: int,
    expected_tokens: int,
    engine_count: int,
    capacity_tokens: int,
) -> bool:
    """Returns whether neighbours could take all runs of an engine.

    The memory in use at all engines of a region has to fit into all but one of
    them.

    Args:
        used_tokens: Memory in use at these engines, in tokens.
        expected_tokens: Memory of the new generation, in tokens.
        engine_count: Number of these engines.
        capacity_tokens: Memory of one engine, in tokens.
    """
    limit_tokens = _EVACUATION_SHARE * capacity_tokens * (engine_count - 1)
    return used_tokens + expected_tokens < limit_tokens


def pause_risk_cost_s(forecast: load_forecast.EndpointForecast) -> float:
    """Returns the cost of a slow VM for a long generation, in seconds."""
    return _PAUSE_RISK_COST_S * max(forecast.usual_pace - 1.0, 0.0)


def evacuation_risk_cost_s(
    candidate: endpoint.Endpoint,
    output_tokens: int,
    forecast: load_forecast.EndpointForecast,
) -> float:
    """Returns the cost of an engine that could not be evacuated, in seconds.

    The longer the expected output, the more likely the engine terminates before
    the output is complete.
    """
    runs = forecast.slot_load * candidate.slots
    return (
        _EVACUATION_RISK_TOKEN_COST_S * output_tokens
        + _EVACUATION_RISK_RUN_COST_S * runs
    )
