"""Tests of the reconciliation of records with a lagging list of VMs."""

import unittest
from unittest import mock

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.membership import rendezvous
from bronzeslip.membership import vm_sweeper
from bronzeslip.settings import gateway
from bronzeslip.store import errors
from bronzeslip.store import objects
from tests.membership import member_factory
from tests.support import in_process

LAG_S = 60.0


class VmSweeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin, self.platform = in_process.create_platform_and_client()
        self.addAsyncCleanup(self.platform.close)
        self.standin.vms = in_process.vm_list_without_lag()
        self.now_s = 0.0
        self.members = directory.MemberDirectory()

    def sweeper(self, vm_id, domain="domain-1"):
        settings = gateway.GatewaySettings(
            vm_id=ids.VmId(vm_id),
            region=ids.RegionName("region-1"),
            failure_domain=ids.FailureDomainName(domain),
            peer_key="key",
            platform_url="http://platform",
            vm_list_lag_s=LAG_S,
        )
        return vm_sweeper.VmSweeper(settings, self.platform, self.members)

    async def add(self, record, state=objects.VmState.LIVE):
        key = member.key_of(record)
        found = await self.platform.get(key)
        if found is None:
            await self.platform.create(key, record)
        else:
            await self.platform.update(key, record, found.version)
        self.members.put(record)
        self.list_vm(record, state)

    def list_vm(self, record, state):
        entry = objects.VmEntry(record.vm_id, record.failure_domain, state)
        self.standin.vms.set(record.vm_id, state and entry)

    async def stored(self, record):
        return await member_factory.read_stored(self.platform, record)

    async def sweep(self, sweeper, after_s=0.0, all_domains=False):
        self.now_s += after_s
        await sweeper.sweep_once(self.now_s, all_domains)

    async def test_record_of_a_missing_vm_is_removed(self):
        missing = member_factory.create_sidecar("vm-1")
        await self.add(member_factory.create_gateway("entry-1"))
        await self.add(missing)
        sweeper = self.sweeper("entry-1")
        await self.sweep(sweeper)
        self.list_vm(missing, None)
        await self.sweep(sweeper, 1.0)
        await self.sweep(sweeper, LAG_S - 1.0)
        self.assertIsNotNone(await self.stored(missing))
        await self.sweep(sweeper, 1.0)
        self.assertIsNone(await self.stored(missing))

    async def test_conflict_is_not_reported_as_a_removal(self):
        missing = member_factory.create_sidecar("vm-1")
        await self.add(member_factory.create_gateway("entry-1"))
        await self.add(missing)
        sweeper = self.sweeper("entry-1")
        self.list_vm(missing, None)
        await self.sweep(sweeper)
        with (
            mock.patch.object(
                self.platform,
                "delete",
                side_effect=errors.VersionConflictError("changed"),
            ),
            self.assertLogs("absl", "INFO") as captured,
        ):
            await self.sweep(sweeper, LAG_S + 1.0)
        self.assertNotIn("membership.vm_gone", "".join(captured.output))
        self.assertIsNotNone(await self.stored(missing))

    async def test_new_vm_not_yet_listed_is_kept(self):
        new = member_factory.create_sidecar("vm-1")
        await self.add(member_factory.create_gateway("entry-1"))
        await self.add(new, None)
        sweeper = self.sweeper("entry-1")
        await self.sweep(sweeper)
        self.list_vm(new, objects.VmState.LIVE)
        await self.sweep(sweeper, LAG_S - 1.0)
        self.list_vm(new, None)
        await self.sweep(sweeper, 2.0)
        self.assertIsNotNone(await self.stored(new))

    async def test_replacement_at_the_same_address_is_kept(self):
        old = member_factory.create_sidecar("vm-1", incarnation="old")
        await self.add(member_factory.create_gateway("entry-1"))
        await self.add(old, None)
        sweeper = self.sweeper("entry-1")
        await self.sweep(sweeper)
        new = member_factory.create_sidecar("vm-1", incarnation="new")
        await self.add(new, None)
        self.members.put(old)
        await self.sweep(sweeper, LAG_S)
        self.assertEqual((await self.stored(new)).incarnation_id, "new")

    async def test_leaving_vm_is_marked(self):
        leaving = member_factory.create_sidecar("vm-1")
        await self.add(member_factory.create_gateway("entry-1"))
        await self.add(leaving, objects.VmState.LEAVING)
        await self.sweep(self.sweeper("entry-1"))
        state = (await self.stored(leaving)).state
        self.assertIs(state, member.MemberState.DRAINING)

    async def test_one_gateway_sweeps_a_domain(self):
        names = ("entry-1", "entry-2", "entry-3")
        for name in names:
            await self.add(member_factory.create_gateway(name))
        for name in names:
            await self.sweep(self.sweeper(name))
        self.assertEqual(self.standin.calls["vms"], 1)

    async def test_lost_domain_is_swept_from_elsewhere(self):
        lost = [
            member_factory.create_sidecar(f"vm-{index}", "domain-2")
            for index in range(3)
        ]
        await self.add(member_factory.create_gateway("entry-1"))
        for record in lost:
            await self.add(record, None)
        sweeper = self.sweeper("entry-1")
        await self.sweep(sweeper)
        await self.sweep(sweeper, LAG_S)
        for record in lost:
            self.assertIsNone(await self.stored(record))

    async def test_record_of_the_responsible_gateway_is_removed(self):
        gateways = [
            member_factory.create_gateway(f"entry-{index}") for index in (1, 2)
        ]
        for record in gateways:
            await self.add(record)
        first, second = (
            self.sweeper(record.vm_id)
            for record in rendezvous.ranked(
                gateways, lambda record: record.vm_id, "domain-1"
            )
        )
        missing = first.settings.vm_id
        self.standin.vms.set(missing, None)
        await self.sweep(second)
        self.assertEqual(self.standin.calls["vms"], 0)
        await self.sweep(second, all_domains=True)
        await self.sweep(second, LAG_S)
        await self.sweep(second, all_domains=True)
        remaining = [
            record.vm_id
            for record in gateways
            if await self.stored(record) is not None
        ]
        self.assertEqual(remaining, [second.settings.vm_id])

    async def test_empty_list_removes_nothing(self):
        missing = member_factory.create_sidecar("vm-1")
        await self.add(member_factory.create_gateway("entry-1"), None)
        await self.add(missing, None)
        sweeper = self.sweeper("entry-1")
        await self.sweep(sweeper)
        await self.sweep(sweeper, LAG_S)
        self.assertIsNotNone(await self.stored(missing))


if __name__ == "__main__":
    unittest.main()
