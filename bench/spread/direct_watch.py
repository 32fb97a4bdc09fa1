"""Distribution model in which every process watches the platform."""

import msgspec

from bench.spread import figures
from bench.spread import fleet
from bench.spread import patch_events
from bronzeslip.store import objects

_PLATFORM_READS_PER_S = 2_000
_PREFIX_COUNT = 3
_WATCH_WAIT_S = 5.0


def measure(
    topology: fleet.FleetTopology, batches: list[objects.WatchBatch]
) -> figures.Figures:
    """Computes the cost from the read rate limit of the platform."""
    result = figures.Figures("every process watching", topology.process_count)
    size_bytes = sum(len(msgspec.json.encode(batch)) for batch in batches)
    size_bytes = size_bytes / len(batches) + fleet.HEADER_BYTES
    result.region_messages = topology.process_count * (1 - 1 / topology.regions)
    result.region_bytes = result.region_messages * size_bytes
    idle_calls_per_s = _PREFIX_COUNT / _WATCH_WAIT_S
    result.process_bytes_per_s = (
        size_bytes * patch_events.PATCHES_PER_S
        + 2 * fleet.HEADER_BYTES * idle_calls_per_s
    )
    result.gateway_bytes_per_s = result.process_bytes_per_s
    result.max_bytes_per_s = result.process_bytes_per_s
    result.platform_calls_per_s = topology.process_count * idle_calls_per_s
    available_reads_per_s = _PLATFORM_READS_PER_S - result.platform_calls_per_s
    read_time_s = (
        topology.process_count / available_reads_per_s
        if available_reads_per_s > 0
        else float("inf")
    )
    result.convergence_s = (
        fleet.PLATFORM_DELAY_S + fleet.PROCESSING_DELAY_S + read_time_s
    )
    return result
