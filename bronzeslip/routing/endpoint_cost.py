"""Expected cost of a request at one endpoint."""

import msgspec

from bronzeslip.routing import candidate
from bronzeslip.settings import gateway


class EndpointCost(msgspec.Struct, frozen=True):
    """Cost in seconds that callers wait, this one and others.

    Attributes:
        contention_s: Requests that run there already.
        queue_wait_s: Wait in the sidecar's queue.
        prefill_s: Prompt to compute, as it holds up the whole batch.
        memory_pressure_s: Memory that is close to full.
        slow_step_s: Steps longer than those of the other endpoints.
        cross_region_s: Way to the endpoint, and traffic paid for.
    """

    contention_s: float
    queue_wait_s: float
    prefill_s: float
    memory_pressure_s: float
    slow_step_s: float
    cross_region_s: float

    @property
    def total_s(self) -> float:
        """The sum."""
        return (
            self.contention_s
            + self.queue_wait_s
            + self.prefill_s
            + self.memory_pressure_s
            + self.slow_step_s
            + self.cross_region_s
        )


class PoolStatistics(msgspec.Struct, frozen=True):
    """What a choice needs to know of the pool as a whole.

    Attributes:
        median_memory_peak: Median of the endpoints' predicted peaks of memory.
        median_running: Median of the requests that they run.
        median_step_s: Median of their step times, in seconds.
    """

    median_memory_peak: float
    median_running: float
    median_step_s: float


def estimate_cost(
    option: candidate.Candidate,
    pool_statistics: PoolStatistics,
    settings: gateway.GatewaySettings,
    uncached_bytes: float,
    is_same_region: bool,
) -> EndpointCost:
    """Works out what a request would cost at an endpoint.

    Args:
        option: The endpoint and what is known of it.
        pool_statistics: The pool.
        settings: Prices.
        uncached_bytes: Part of the prompt that it has to compute.
        is_same_region: Whether it stands in the gateway's region.
    """
    load = option.load
    is_load_known = option.load_age_s <= settings.load_trust_s
    running = load.running
    if not is_load_known:
        running = max(option.outstanding, pool_statistics.median_running)
    memory_peak = (
        load.memory_peak_ratio
        if is_load_known
        else pool_statistics.median_memory_peak
    )
    memory_peak += option.sent_since_load * settings.request_memory_ratio
    excess_ratio = max(memory_peak - settings.memory_pressure_start_ratio, 0.0)
    step_s = (
        load.step_time_s if is_load_known else pool_statistics.median_step_s
    )
    slowdown = (
        max(step_s / pool_statistics.median_step_s - 1.25, 0.0)
        if step_s
        else 0.0
    )
    in_flight = max(running + load.queued, option.outstanding)
    in_flight += option.sent_since_load
    return EndpointCost(
        contention_s=in_flight * settings.request_cost_s,
        queue_wait_s=load.queue_wait_s
        if is_load_known
        else settings.unknown_load_cost_s,
        prefill_s=uncached_bytes
        / settings.prefill_bytes_per_s
        * (1 + running + option.sent_since_load),
        memory_pressure_s=settings.memory_pressure_cost_s
        * excess_ratio
        * excess_ratio,
        slow_step_s=settings.slow_endpoint_cost_s * slowdown,
        cross_region_s=0.0 if is_same_region else settings.cross_region_cost_s,
    )
