"""Tests of LeaseHandle."""

import unittest

from bronzeslip.orders import errors
from bronzeslip.orders import lease_keeper
from standins.platform import faults
from tests.support import clock
from tests.support import in_process

_TTL_S = 10.0


class LeaseHandleTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.platform, self.client = in_process.create_platform_and_client()

    async def asyncTearDown(self):
        await self.client.close()

    def lease(self, holder, own_clock=None):
        return lease_keeper.LeaseHandle(
            self.client, "one", holder, _TTL_S, own_clock or self.clock
        )

    async def test_second_holder_waits_until_lease_expires(self):
        first, second = self.lease("a"), self.lease("b")
        self.assertTrue(await first.try_acquire())
        self.assertFalse(await second.try_acquire())
        self.clock.advance(_TTL_S + 1)
        self.assertFalse(await second.try_acquire())
        self.clock.advance(_TTL_S)
        self.assertTrue(await second.try_acquire())

    async def test_lease_expires_for_holder_before_takeover(self):
        first, second = self.lease("a"), self.lease("b")
        await first.try_acquire()
        await second.try_acquire()
        for _ in range(200):
            self.clock.advance(_TTL_S / 100)
            if await second.try_acquire():
                break
        self.assertTrue(second.held)
        self.assertFalse(first.held)

    async def test_renewal_prevents_takeover(self):
        first, second = self.lease("a"), self.lease("b")
        await first.try_acquire()
        for _ in range(5):
            self.assertFalse(await second.try_acquire())
            self.clock.advance(_TTL_S * 0.7)
            self.assertTrue(await first.renew())
        self.assertFalse(await second.try_acquire())

    async def test_fencing_number_grows_with_holders(self):
        first, second = self.lease("a"), self.lease("b")
        await first.try_acquire()
        number = first.fencing_number
        await first.release()
        self.assertTrue(await second.try_acquire())
        self.assertGreater(second.fencing_number, number)

    async def test_paused_holder_does_not_hold(self):
        first = self.lease("a")
        await first.try_acquire()
        self.clock.advance(_TTL_S)
        self.assertFalse(first.held)
        with self.assertRaises(errors.LeaseNotHeldError):
            first.check_held()
        self.assertFalse(await first.renew())

    async def test_renewal_recognizes_own_write_with_lost_answer(self):
        first = self.lease("a")
        await first.try_acquire()
        self.platform.faults = faults.Faults(
            faults.FaultMode.LOST_ANSWER, write_count=1
        )
        self.clock.advance(_TTL_S / 3)
        self.assertTrue(await first.renew())
        self.clock.advance(_TTL_S / 3)
        self.assertTrue(await first.renew())
        self.clock.advance(_TTL_S * 0.9)
        self.assertTrue(first.held)

    async def test_acquisition_with_lost_answer_is_not_held_at_once(self):
        first = self.lease("a")
        self.platform.faults = faults.Faults(
            faults.FaultMode.LOST_ANSWER, write_count=1
        )
        self.assertFalse(await first.try_acquire())
        self.assertTrue(await first.try_acquire())

    async def test_lease_expires_during_outage(self):
        first = self.lease("a")
        await first.try_acquire()
        self.platform.faults = faults.Faults(faults.FaultMode.OUTAGE)
        self.clock.advance(_TTL_S / 2)
        self.assertTrue(await first.renew())
        self.clock.advance(_TTL_S / 2)
        self.assertFalse(await first.renew())

    async def test_release_after_renewal_with_lost_answer(self):
        first, second = self.lease("a"), self.lease("b")
        await first.try_acquire()
        self.platform.faults = faults.Faults(
            faults.FaultMode.LOST_ANSWER, write_count=1
        )
        await first.renew()
        await first.release()
        self.assertTrue(await second.try_acquire())


if __name__ == "__main__":
    unittest.main()
