"""Every process watches the platform itself."""

import msgspec

from bench.spread import figures
from bench.spread import fleet
from bench.spread import patch_events
from bronzeslip.store import objects

_PLATFORM_READS_PER_S = 2_000
_PREFIXES = 3
_WATCH_WAIT_S = 5.0


def measure(
    shape: fleet.FleetShape, batches: list[objects.WatchBatch]
) -> figures.Figures:
    """Works out the cost from the platform's limit of reads."""
    result = figures.Figures("every process watching", shape.size)
    size_bytes = sum(len(msgspec.json.encode(batch)) for batch in batches)
    size_bytes = size_bytes / len(batches) + fleet.HEADER_BYTES
    result.region_messages = shape.size * (1 - 1 / shape.regions)
    result.region_bytes = result.region_messages * size_bytes
    idle_calls_per_s = _PREFIXES / _WATCH_WAIT_S
    result.node_bytes_per_s = (
        size_bytes * patch_events.PATCHES_PER_S
        + 2 * fleet.HEADER_BYTES * idle_calls_per_s
    )
    result.gateway_bytes_per_s = result.node_bytes_per_s
    result.busiest_bytes_per_s = result.node_bytes_per_s
    result.platform_calls_per_s = shape.size * idle_calls_per_s
    free_reads_per_s = _PLATFORM_READS_PER_S - result.platform_calls_per_s
    answers_s = (
        shape.size / free_reads_per_s if free_reads_per_s > 0 else float("inf")
    )
    result.everywhere_s = (
        fleet.PLATFORM_DELAY_S + fleet.PROCESSING_DELAY_S + answers_s
    )
    return result
