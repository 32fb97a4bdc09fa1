"""Gateways and sidecars that follow one stand-in in the test's process."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.configuration import store
from bronzeslip.membership import member
from bronzeslip.membership import registrar
from bronzeslip.settings import common
from bronzeslip.spread import service
from bronzeslip.transport import server
from standins.platform import faults
from tests.configuration import test_store
from tests.support import in_process

PEER_KEY = "test-key"
GATEWAY = member.MemberRole.GATEWAY
SIDECAR = member.MemberRole.SIDECAR


class Process:
    """One process with only its spread."""

    def __init__(self, platform, role, vm_id, domain, seeds=()):
        self.settings = common.CommonSettings(
            vm_id=ids.VmId(vm_id),
            region=ids.RegionName(domain),
            failure_domain=ids.FailureDomainName(domain),
            peer_key=PEER_KEY,
            platform_url="http://platform",
            relay_heartbeat_interval_s=0.1,
            relay_silence_timeout_s=1.0,
            seed_peers=tuple(seeds),
        )
        self.role = role
        self.service = service.SpreadService(self.settings, role, platform)
        self.peers = server.PeerServer(
            "127.0.0.1", 0, PEER_KEY, self.service.relay.serve
        )
        self.registrar = registrar.Registrar(platform, self._member())
        self.task = None

    @property
    def address(self):
        return f"127.0.0.1:{self.peers.port}"

    async def start(self):
        await self.peers.start()
        self.task = asyncio.create_task(self.service.run())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait((self.task,))
            self.task = None
            await self.peers.stop()

    def _member(self):
        is_sidecar = self.role is SIDECAR
        return member.Member(
            self.settings.vm_id,
            ids.IncarnationId(ids.random_id()),
            self.role,
            self.settings.region,
            self.settings.failure_domain,
            self.address,
            endpoint_id=self.settings.vm_id if is_sidecar else None,
            pool=ids.PoolName("pool") if is_sidecar else None,
        )


class SpreadCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin, self.platform = in_process.create_platform_and_client()
        self.addAsyncCleanup(self.platform.close)
        self.store = store.ConfigurationStore(self.platform)
        self.number = 0
        self.processes = []

    async def start(self, role, vm_id, domain="domain-1", seeds=()):
        process = Process(self.platform, role, vm_id, domain, seeds)
        self.addAsyncCleanup(process.stop)
        self.processes.append(process)
        await process.start()
        if self.standin.faults.mode is faults.FaultMode.NONE:
            await process.registrar.register()
        return process

    async def start_gateways(self, count, domain="domain-1"):
        return [
            await self.start(GATEWAY, f"entry-{domain}-{index}", domain)
            for index in range(count)
        ]

    async def start_sidecars(self, count, domain="domain-1"):
        return [
            await self.start(SIDECAR, f"endpoint-{domain}-{index}", domain)
            for index in range(count)
        ]

    async def stop(self, process):
        self.processes.remove(process)
        await process.stop()

    async def apply(self):
        """Submits a patch and waits until it is in force everywhere."""
        accepted = await self.store.apply(
            test_store.request(
                self.number, test_store.workspace_patch(f"w-{self.number}")
            )
        )
        self.number = accepted.number
        await self.in_force()

    async def in_force(self):
        """Waits until the latest number is in force everywhere."""
        for process in self.processes:
            await process.service.configuration.wait_for(self.number)

    async def until(self, holds):
        """Waits until a condition of the processes holds."""
        while True:
            if holds():
                return
            await asyncio.sleep(0.02)

    async def settled(self):
        """Waits until only the chosen gateways watch the platform."""
        gateways = [found for found in self.processes if found.role is GATEWAY]
        await self.until(
            lambda: all(
                len(found.service.members.gateways()) >= len(gateways)
                for found in self.processes
            )
        )
        domains = {found.settings.failure_domain for found in gateways}
        await self.until(lambda: len(self.watching()) == 2 * len(domains))

    def watching(self):
        return [
            found for found in self.processes if found.service.node.watches()
        ]

    def set_fault(self, mode):
        self.standin.faults = faults.Faults(mode)
