"""Expected cost of sending a request to an endpoint."""

import msgspec

from bronzeslip.routing import candidate
from bronzeslip.settings import gateway


class EndpointCost(msgspec.Struct, frozen=True):
    """Cost as waiting time of this and other callers, in seconds.

    Attributes:
        contention_s: Cost of the requests already at the endpoint.
        queue_wait_s: Expected wait in the sidecar's queue.
        prefill_s: Cost of the prompt computation, which delays the whole
            batch.
        memory_pressure_s: Cost of engine memory that is nearly full.
        slow_step_s: Cost of engine steps that are slower than those of the
            other endpoints.
        cross_region_s: Cost of latency and billed traffic between regions.
    """

    contention_s: float
    queue_wait_s: float
    prefill_s: float
    memory_pressure_s: float
    slow_step_s: float
    cross_region_s: float

    @property
    def total_s(self) -> float:
        """Sum of all costs, in seconds."""
        return (
            self.contention_s
            + self.queue_wait_s
            + self.prefill_s
            + self.memory_pressure_s
            + self.slow_step_s
            + self.cross_region_s
        )


class PoolStatistics(msgspec.Struct, frozen=True):
    """Statistics over all candidate endpoints of a pool.

    Attributes:
        median_memory_peak: Median predicted peak memory ratio.
        median_running: Median number of running requests.
        median_step_s: Median engine step time, in seconds.
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
    """Estimates the cost of a request at an endpoint.

    For an endpoint whose last report is too old, the pool medians replace its
    load and a fixed cost replaces its queue wait.

    Args:
        option: Candidate endpoint.
        pool_statistics: Statistics of the endpoint's pool.
        settings: Cost coefficients.
        uncached_bytes: Size of the part of the prompt that is not cached at
            the endpoint, in bytes.
        is_same_region: Whether the endpoint is in the gateway's region.
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
