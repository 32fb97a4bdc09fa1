"""Tests of the registration, replacement and loss of member records."""

import unittest

from bronzeslip.membership import member
from bronzeslip.membership import registrar
from standins.platform import faults
from tests.membership import member_factory
from tests.support import in_process


class RegistrarTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin, self.platform = in_process.create_platform_and_client()
        self.addAsyncCleanup(self.platform.close)
        self.old = self.registrar("old")
        self.new = self.registrar("new")

    def registrar(self, incarnation):
        local_member = member_factory.create_sidecar(
            "vm-1", incarnation=incarnation
        )
        return registrar.Registrar(self.platform, local_member)

    async def stored(self):
        return await member_factory.read_stored(
            self.platform, self.new.local_member
        )

    async def test_new_incarnation_replaces_the_old(self):
        await self.old.register()
        await self.new.register()
        self.assertEqual((await self.stored()).incarnation_id, "new")

    async def test_old_incarnation_does_not_change_the_new_one(self):
        await self.old.register()
        await self.new.register()
        await self.old.announce_draining()
        await self.old.deregister()
        found = await self.stored()
        self.assertEqual(found.incarnation_id, "new")
        self.assertIs(found.state, member.MemberState.SERVING)

    async def test_lost_answer_is_recognized(self):
        self.standin.faults = faults.Faults(
            faults.FaultMode.LOST_ANSWER, write_count=1
        )
        await self.new.register()
        self.assertEqual((await self.stored()).incarnation_id, "new")

    async def test_drain_and_deregistration(self):
        await self.new.register()
        await self.new.announce_draining()
        self.assertIs((await self.stored()).state, member.MemberState.DRAINING)
        await self.new.deregister()
        self.assertIsNone(await self.stored())

    async def test_late_announcement_does_not_undo_deregistration(self):
        await self.new.register()
        await self.new.deregister()
        await self.new.announce_draining()
        self.assertIsNone(await self.stored())

    async def test_removed_record_is_written_again(self):
        await self.new.register()
        found = await self.platform.get(member.key_of(self.new.local_member))
        await self.platform.delete(found.key, found.version)
        await self.new.renew()
        self.assertEqual((await self.stored()).incarnation_id, "new")

    async def test_renewal_does_not_change_another_incarnation(self):
        await self.old.register()
        await self.new.register()
        await self.old.renew()
        self.assertEqual((await self.stored()).incarnation_id, "new")


if __name__ == "__main__":
    unittest.main()
