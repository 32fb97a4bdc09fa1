"""Gateways and sidecars replicating from one in-process platform stand-in."""

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
    """One simulated process that runs only replication."""

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
        self.service = service.ReplicationService(self.settings, role, platform)
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


class ReplicationCase(unittest.IsolatedAsyncioTestCase):
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
        """Submits a patch and waits until every process has applied it."""
        accepted = await self.store.apply(
            test_store.request(
                self.number, test_store.workspace_patch(f"w-{self.number}")
            )
        )
        self.number = accepted.number
        await self.wait_until_applied()

    async def wait_until_applied(self):
        """Waits until every process has applied the latest number."""
        for process in self.processes:
            await process.service.configuration.wait_for(self.number)

    async def wait_until(self, condition):
        """Polls until a condition of the processes is true."""
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)

    async def wait_until_watchers_selected(self):
        """Waits until only the selected gateways watch the platform."""
        gateways = [
            process for process in self.processes if process.role is GATEWAY
        ]
        await self.wait_until(
            lambda: all(
                len(process.service.members.gateways()) >= len(gateways)
                for process in self.processes
            )
        )
        domains = {process.settings.failure_domain for process in gateways}
        await self.wait_until(lambda: len(self.watchers()) == 2 * len(domains))

    def watchers(self):
        return [
            process
            for process in self.processes
            if process.service.node.watches_platform()
        ]

    def set_fault(self, mode):
        self.standin.faults = faults.Faults(mode)
