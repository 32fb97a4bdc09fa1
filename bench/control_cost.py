"""Measures memory and CPU time of a gateway in a large fleet.

A real gateway process watches a platform stand-in that holds a configuration
of the size that users expect within two years and a fleet of 4,680 members. The
gateway relays the configuration to sidecars that run in this process. Patches
are applied at the expected rate.
"""

import argparse
import asyncio
import os
import pathlib

import msgspec

from bench.spread import fleet
from bench.spread import patch_events
from bronzeslip import ids
from bronzeslip.configuration import store
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import service
from bronzeslip.store import client
from tools import declarations
from tools import large_configuration
from tools import local_process

_PEER_KEY = "bench-key"
_FOLLOWER_COUNT = 12
_CONCURRENT_WRITES = 32
_BYTES_PER_MB = 1e6
_SETTLE_S = 5.0
_TOPOLOGY = fleet.TOPOLOGIES[-1]


def main() -> None:
    """Runs the measurement and prints a table."""
    parser = argparse.ArgumentParser(prog="control_cost")
    parser.add_argument("--seconds", type=float, default=70.0)
    flags = parser.parse_args()
    platform = local_process.LocalProcess("standins.platform")
    try:
        asyncio.run(_run(platform.http_url(), flags.seconds))
    finally:
        platform.stop()


async def _run(platform_url: str, window_s: float) -> None:
    platform = client.PlatformClient(platform_url, 60.0)
    configuration_store = store.ConfigurationStore(platform)
    await configuration_store.apply(
        patch_events.create_request(0, large_configuration.document())
    )
    await _register_fleet(platform)
    gateway = _start_gateway(platform_url)
    followers = [
        service.ReplicationService(
            _settings(platform_url, index), member.MemberRole.SIDECAR, platform
        )
        for index in range(_FOLLOWER_COUNT)
    ]
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    try:
        await asyncio.to_thread(gateway.wait_for_line, "configuration.in_force")
        for follower in followers:
            await follower.configuration.wait_for(ids.ConfigurationNumber(1))
        await asyncio.sleep(_SETTLE_S)
        await _measure(gateway.pid, configuration_store, followers, window_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await asyncio.to_thread(gateway.stop)
        await platform.close()


async def _measure(
    pid: int,
    configuration_store: store.ConfigurationStore,
    followers: list[service.ReplicationService],
    window_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    start_s, start_cpu_s = loop.time(), _cpu_s(pid)
    number = 1
    while loop.time() - start_s < window_s:
        await asyncio.sleep(1 / patch_events.PATCHES_PER_S)
        patch = {"workspaces": {f"workspace-{number}": {"weight": 2.0}}}
        await configuration_store.apply(
            patch_events.create_request(number, patch)
        )
        number += 1
    for follower in followers:
        await follower.configuration.wait_for(ids.ConfigurationNumber(number))
    elapsed_s = loop.time() - start_s
    cpu_ratio = (_cpu_s(pid) - start_cpu_s) / elapsed_s
    print("| figure | value |\n| --- | --- |")
    print(f"| members | {_TOPOLOGY.process_count} |")
    print(f"| followers of the gateway | {_FOLLOWER_COUNT} |")
    print(f"| patches in {elapsed_s:.0f} s | {number - 1} |")
    print(
        f"| resident memory | {_resident_bytes(pid) / _BYTES_PER_MB:.0f} MB |"
    )
    print(f"| CPU time | {cpu_ratio:.2%} of a core |")


async def _register_fleet(platform: client.PlatformClient) -> None:
    slots = asyncio.Semaphore(_CONCURRENT_WRITES)

    async def write(registered_member: member.Member) -> None:
        async with slots:
            await platform.create(
                member.key_of(registered_member), registered_member
            )

    await asyncio.gather(
        *(
            write(_with_registration(fleet_member))
            for fleet_member in fleet.members_of(_TOPOLOGY)
        )
    )


def _with_registration(registered_member: member.Member) -> member.Member:
    registered_member = msgspec.structs.replace(
        registered_member, address="127.0.0.1:1"
    )
    if registered_member.role is member.MemberRole.GATEWAY:
        return registered_member
    return msgspec.structs.replace(
        registered_member,
        endpoint_id=ids.EndpointId(f"endpoint-of-{registered_member.vm_id}"),
        pool=ids.PoolName("pool-model-1"),
    )


def _start_gateway(platform_url: str) -> local_process.LocalProcess:
    return local_process.LocalProcess(
        "bronzeslip.gateway",
        *("--vm-id", "bench-entry"),
        *("--region", "bench"),
        *("--failure-domain", "bench"),
        *("--peer-key", _PEER_KEY),
        *("--platform-url", platform_url),
        *("--log-format", "json"),
        "--operator-credentials-sha256",
        declarations.digest_of(declarations.OPERATOR_CREDENTIAL),
    )


def _settings(platform_url: str, index: int) -> common.CommonSettings:
    return common.CommonSettings(
        vm_id=ids.VmId(f"bench-{index}"),
        region=ids.RegionName("bench"),
        failure_domain=ids.FailureDomainName("bench"),
        peer_key=_PEER_KEY,
        platform_url=platform_url,
    )


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> int:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


if __name__ == "__main__":
    main()
