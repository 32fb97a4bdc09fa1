"""Tests of the deletion of expired claims."""

import types
import unittest
from unittest import mock

from bronzeslip.claims import claim as claims
from bronzeslip.claims import sweeper
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.transport.frames import call as frames
from tests.support import in_process


class ClaimSweeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        delay = mock.patch.object(sweeper, "_SHARD_DELAY_S", 0)
        delay.start()
        self.addCleanup(delay.stop)
        _, self.platform = in_process.create_platform_and_client()
        self.members = directory.MemberDirectory()
        for vm_id in ("entry-0", "entry-1"):
            self.members.put(
                member.Member(
                    vm_id, vm_id, member.MemberRole.GATEWAY, "r", "d", vm_id
                )
            )

    def sweeper(self, vm_id, now_unix_s):
        settings = types.SimpleNamespace(vm_id=vm_id, claim_retention_s=100.0)
        return sweeper.ClaimSweeper(
            settings, self.platform, self.members, lambda: now_unix_s
        )

    async def write(self, name, claimed_unix_s):
        key = claims.key_of("clerks", "commissions", name)
        ticket = frames.DispatchTicket("incarnation", 1.0)
        claim = claims.Claim(name, "digest", "a", ticket, claimed_unix_s)
        await self.platform.create(key, claim)

    async def test_gateways_distribute_expired_claims(self):
        for index in range(20):
            await self.write(f"old-{index}", 1000)
        await self.write("young", 1050)
        counts = [
            await self.sweeper(vm_id, 1101).sweep()
            for vm_id in ("entry-0", "entry-1")
        ]
        self.assertEqual(sum(counts), 20)
        self.assertTrue(all(counts))
        remaining = await self.platform.list_objects(claims.CLAIMS_PREFIX)
        self.assertEqual(len(remaining.objects), 1)


if __name__ == "__main__":
    unittest.main()
