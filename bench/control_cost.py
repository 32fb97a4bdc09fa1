"""Memory, processor time and bytes of a gateway at the letter's size.

A real gateway process watches a platform stand-in that holds the whole
configuration and a fleet of 4,680 members, and is the relay of sidecars that
run in this process. Patches come at the letter's rate.
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
from tools import letter_size
from tools import local_process

_PEER_KEY = "bench-key"
_FOLLOWERS = 12
_CONCURRENT_WRITES = 32
_BYTES_PER_MB = 1e6
_SETTLE_S = 5.0
_SHAPE = fleet.SHAPES[-1]


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
    patched = store.ConfigurationStore(platform)
    await patched.apply(patch_events.request(0, letter_size.document()))
    await _register_fleet(platform)
    gateway = _start_gateway(platform_url)
    followers = [
        service.ReplicationService(
            _settings(platform_url, index), member.MemberRole.SIDECAR, platform
        )
        for index in range(_FOLLOWERS)
    ]
    tasks = [asyncio.create_task(found.run()) for found in followers]
    try:
        await asyncio.to_thread(gateway.wait_for_line, "configuration.in_force")
        for found in followers:
            await found.configuration.wait_for(ids.ConfigurationNumber(1))
        await asyncio.sleep(_SETTLE_S)
        await _measure(gateway.pid, patched, followers, window_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await asyncio.to_thread(gateway.stop)
        await platform.close()


async def _measure(
    pid: int,
    patched: store.ConfigurationStore,
    followers: list[service.ReplicationService],
    window_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    start_s, cpu_s = loop.time(), _cpu_s(pid)
    number = 1
    while loop.time() - start_s < window_s:
        await asyncio.sleep(1 / patch_events.PATCHES_PER_S)
        patch = {"workspaces": {f"workspace-{number}": {"weight": 2.0}}}
        await patched.apply(patch_events.request(number, patch))
        number += 1
    for found in followers:
        await found.configuration.wait_for(ids.ConfigurationNumber(number))
    spent_s = loop.time() - start_s
    cpu_share = (_cpu_s(pid) - cpu_s) / spent_s
    print("| figure | value |\n| --- | --- |")
    print(f"| members | {_SHAPE.size} |")
    print(f"| followers of the gateway | {_FOLLOWERS} |")
    print(f"| patches in {spent_s:.0f} s | {number - 1} |")
    print(
        f"| resident memory | {_resident_bytes(pid) / _BYTES_PER_MB:.0f} MB |"
    )
    print(f"| processor time | {cpu_share:.2%} of a core |")


async def _register_fleet(platform: client.PlatformClient) -> None:
    slots = asyncio.Semaphore(_CONCURRENT_WRITES)

    async def write(known: member.Member) -> None:
        async with slots:
            await platform.create(member.key_of(known), known)

    await asyncio.gather(*(write(_listed(k)) for k in fleet.members_of(_SHAPE)))


def _listed(known: member.Member) -> member.Member:
    known = msgspec.structs.replace(known, address="127.0.0.1:1")
    if known.role is member.MemberRole.GATEWAY:
        return known
    return msgspec.structs.replace(
        known,
        endpoint_id=ids.EndpointId(f"endpoint-of-{known.vm_id}"),
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
