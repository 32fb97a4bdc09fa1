"""Measures time and memory to patch and activate a large configuration.

The configuration has the size that users expect within two years.
"""

import argparse
import asyncio
import resource
import time

import httpx
import msgspec

from bench.spread import patch_events
from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import store
from bronzeslip.configuration import watcher
from bronzeslip.store import client
from standins.platform import app
from tools import large_configuration

_BYTES_PER_MB = 1_000_000
_KIB_BYTES = 1024


def main() -> None:
    """Runs the measurement and prints a table."""
    parser = argparse.ArgumentParser(prog="configuration_apply")
    parser.add_argument("--patches", type=int, default=50)
    flags = parser.parse_args()
    asyncio.run(_run(flags.patches))


async def _run(patches: int) -> None:
    standin = app.PlatformStandin()
    platform = client.PlatformClient(
        "http://platform", 60.0, httpx.ASGITransport(standin.app())
    )
    configuration = in_force.ActiveConfiguration()
    configuration_watcher = watcher.ConfigurationWatcher(configuration)
    configuration_store = store.ConfigurationStore(platform)
    first_apply_s = await _measure_s(
        configuration_store.apply(
            patch_events.create_request(0, large_configuration.document())
        )
    )
    snapshot = await platform.list_objects(manifest.PREFIX)
    activate_first_s = await _measure_s(configuration_watcher.on_list(snapshot))
    version, apply_s, activate_s, event_bytes = snapshot.version, 0.0, 0.0, 0
    calls_before = standin.calls.total()
    for number in range(1, patches + 1):
        patch = {"workspaces": {f"workspace-{number}": {"weight": 2.0}}}
        apply_s += await _measure_s(
            configuration_store.apply(
                patch_events.create_request(number, patch)
            )
        )
        batch = await platform.watch(manifest.PREFIX, version, 0.0)
        version = batch.version
        event_bytes += len(msgspec.json.encode(batch))
        for event in batch.events:
            activate_s += await _measure_s(
                configuration_watcher.on_event(event)
            )
    calls = standin.calls.total() - calls_before - patches
    memory_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    await platform.close()
    print("| figure | value |\n| --- | --- |")
    print(f"| workspaces | {len(configuration.current.document.workspaces)} |")
    print(f"| first apply | {first_apply_s * 1e3:.0f} ms |")
    print(
        "| first activation from a snapshot "
        f"| {activate_first_s * 1e3:.0f} ms |"
    )
    print(
        f"| apply one patch at a gateway | {apply_s / patches * 1e3:.1f} ms |"
    )
    print(f"| activate one patch | {activate_s / patches * 1e3:.1f} ms |")
    print(f"| bytes of events per patch | {event_bytes / patches:.0f} |")
    print(f"| platform calls per patch | {calls / patches:.1f} |")
    memory_mb = memory_kib * _KIB_BYTES / _BYTES_PER_MB
    print(f"| peak memory, stand-in included | {memory_mb:.0f} MB |")


async def _measure_s(awaitable: object) -> float:
    start_s = time.perf_counter()
    await awaitable
    return time.perf_counter() - start_s


if __name__ == "__main__":
    main()
