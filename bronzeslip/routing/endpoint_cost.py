"""Expected cost of a request at one endpoint."""

import msgspec

from bronzeslip.routing import candidate
from bronzeslip.settings import gateway


class EndpointCost(msgspec.Struct, frozen=True):
    """Cost in seconds that callers wait, this one and others.

    Attributes:
        crowding_s: Requests that run there already.
        wait_s: Wait in the sidecar's queue.
        prefill_s: Prompt to compute, as it holds up the whole batch.
        pressure_s: Memory that is close to full.
        slowness_s: Steps longer than those of the other endpoints.
        distance_s: Way to the endpoint, and traffic paid for.
    """

    crowding_s: float
    wait_s: float
    prefill_s: float
    pressure_s: float
    slowness_s: float
    distance_s: float

    @property
    def total_s(self) -> float:
        """The sum."""
        return (
            self.crowding_s
            + self.wait_s
            + self.prefill_s
            + self.pressure_s
            + self.slowness_s
            + self.distance_s
        )


class PoolView(msgspec.Struct, frozen=True):
    """What a choice needs to know of the pool as a whole.

    Attributes:
        median_load: Median of the endpoints' predicted peaks of memory.
        median_running: Median of the requests that they run.
        median_step_s: Median of their step times, in seconds.
    """

    median_load: float
    median_running: float
    median_step_s: float


def cost_of(
    option: candidate.Candidate,
    pool: PoolView,
    settings: gateway.GatewaySettings,
    uncached_bytes: float,
    is_near: bool,
) -> EndpointCost:
    """Works out what a request would cost at an endpoint.

    Args:
        option: The endpoint and what is known of it.
        pool: The pool.
        settings: Prices.
        uncached_bytes: Part of the prompt that it has to compute.
        is_near: Whether it stands in the gateway's region.
    """
    load = option.load
    is_known = option.load_age_s <= settings.load_trust_s
    running = load.running
    if not is_known:
        running = max(option.outstanding, pool.median_running)
    peak = load.memory_peak_ratio if is_known else pool.median_load
    peak += option.sent_since_load * settings.request_memory_ratio
    excess = max(peak - settings.memory_pressure_start_ratio, 0.0)
    step_s = load.step_time_s if is_known else pool.median_step_s
    slow_by = max(step_s / pool.median_step_s - 1.25, 0.0) if step_s else 0.0
    crowd = max(running + load.queued, option.outstanding)
    crowd += option.sent_since_load
    return EndpointCost(
        crowding_s=crowd * settings.request_cost_s,
        wait_s=load.queue_wait_s if is_known else settings.unknown_load_cost_s,
        prefill_s=uncached_bytes
        / settings.prefill_bytes_per_s
        * (1 + running + option.sent_since_load),
        pressure_s=settings.memory_pressure_cost_s * excess * excess,
        slowness_s=settings.slow_endpoint_cost_s * slow_by,
        distance_s=0.0 if is_near else settings.cross_region_cost_s,
    )
