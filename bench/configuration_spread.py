"""Compares methods of configuration distribution for several fleet sizes."""

import argparse
import asyncio

from bench.spread import direct_watch
from bench.spread import figures
from bench.spread import flat_gossip
from bench.spread import fleet
from bench.spread import patch_events
from bench.spread import relay_tree


def main() -> None:
    """Runs the models and prints a table of their figures."""
    parser = argparse.ArgumentParser(prog="configuration_spread")
    parser.add_argument("--patches", type=int, default=4)
    parser.add_argument("--most-processes", type=int, default=4_680)
    flags = parser.parse_args()
    batches = asyncio.run(patch_events.collect(flags.patches))
    sizes_bytes = [flat_gossip.packed_bytes(batch) for batch in batches]
    print(
        "compressed bytes per patch: "
        f"{sum(sizes_bytes) / len(sizes_bytes):.0f}\n"
    )
    print(figures.HEADER)
    for topology in fleet.TOPOLOGIES:
        if topology.process_count > flags.most_processes:
            continue
        for result in (
            relay_tree.measure(topology, batches, freeze=False),
            relay_tree.measure(topology, batches, freeze=True),
            flat_gossip.measure(topology, batches),
            direct_watch.measure(topology, batches),
        ):
            print(result.row(), flush=True)


if __name__ == "__main__":
    main()
