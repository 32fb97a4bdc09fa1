"""Tests of the reconciler of an engine."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import in_force
from bronzeslip.configuration import record
from bronzeslip.orders import errors
from bronzeslip.orders import lease_keeper
from bronzeslip.orders import reconciler
from bronzeslip.orders import rollout_slots
from bronzeslip.settings import sidecar
from standins.platform import faults
from tests.support import clock
from tests.support import in_process

_TTL_S = 10.0


class FakeAdmission:
    """Records pauses; the test decides when the engine is idle."""

    def __init__(self):
        self.paused = False
        self.pause_called = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()

    def pause(self):
        self.paused = True
        self.pause_called.set()

    def resume(self):
        self.paused = False

    async def wait_idle(self):
        await self.idle.wait()


class Holder:
    """Reconciler and lease of one sidecar incarnation, with its own clock."""

    def __init__(self, case, name, endpoint_id="drafting-0"):
        self.clock = clock.ManualClock()
        self.admission = FakeAdmission()
        settings = sidecar.SidecarSettings(
            vm_id="vm",
            region="brum",
            failure_domain="brum-1",
            peer_key="key",
            platform_url="http://platform",
            endpoint_id=endpoint_id,
            pool="drafting",
            endpoint_url="http://engine",
        )
        self.lease = self._create_lease(case, f"orders/{endpoint_id}", name)
        self.reconciler = reconciler.Reconciler(
            settings,
            case.client,
            case.engine,
            case.configuration,
            self.admission,
            self.lease,
            rollout_slots.RolloutSlots(
                lambda number: self._create_lease(case, f"slot/{number}", name)
            ),
        )

    def _create_lease(self, case, key, name):
        return lease_keeper.LeaseHandle(
            case.client, key, ids.IncarnationId(name), _TTL_S, self.clock
        )


class ReconcilerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform, self.client = in_process.create_platform_and_client()
        self.configuration = in_force.ActiveConfiguration()
        self.use_engine(checks_fencing=True)
        await self.assign("2")

    async def asyncTearDown(self):
        await self.client.close()
        await self.engine.close()

    def use_engine(self, checks_fencing):
        self.standin, self.engine = in_process.create_engine_and_client(
            checks_fencing
        )

    async def assign(self, version, **more):
        tree = {
            "pools": {
                "drafting": {
                    "kind": "generation",
                    "assignment": {
                        "model": "tin-drafter",
                        "model_version": version,
                        **more,
                    },
                }
            }
        }
        number = ids.ConfigurationNumber(self.configuration.number + 1)
        await self.configuration.activate(
            record.ConfigurationRecord(number, document.parse(tree))
        )

    def version(self):
        return self.standin.orders.state.model_version

    async def test_reaches_assignment(self):
        await self.assign("3", adapters={"ornate": "7"}, role="prefill")
        holder = Holder(self, "a")
        self.assertTrue(await holder.reconciler.reconcile())
        state = self.standin.orders.state
        self.assertEqual(state.model_version, "3")
        self.assertEqual(state.adapters, {"ornate": "7"})
        self.assertEqual(state.role, "prefill")
        self.assertFalse(holder.admission.paused)

    async def test_sends_nothing_when_assignment_is_reached(self):
        holder = Holder(self, "a")
        await holder.reconciler.reconcile()
        writes = self.platform.calls["put"]
        self.assertTrue(await holder.reconciler.reconcile())
        self.assertEqual(self.platform.calls["put"], writes)
        self.assertEqual(len(self.standin.orders.applied), 1)

    async def test_waits_for_running_work_before_model_changes(self):
        holder = Holder(self, "a")
        holder.admission.idle.clear()
        task = asyncio.create_task(holder.reconciler.reconcile())
        await holder.admission.pause_called.wait()
        self.assertEqual(self.standin.orders.applied, [])
        holder.admission.idle.set()
        self.assertTrue(await task)
        self.assertEqual(self.version(), "2")

    async def test_holder_paused_past_its_lease_sends_nothing(self):
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                self.use_engine(checks_fencing)
                await self.assign("2")
                paused, contender = Holder(self, "a"), Holder(self, "b")
                paused.admission.idle.clear()
                task = asyncio.create_task(paused.reconciler.reconcile())
                await paused.admission.pause_called.wait()
                await self.take_over(contender)
                paused.clock.advance(2 * _TTL_S)
                paused.admission.idle.set()
                with self.assertRaises(errors.LeaseNotHeldError):
                    await task
                self.assertEqual(len(self.standin.orders.applied), 1)
                await paused.reconciler._lease.release()
                await self.free_leases()

    async def test_engine_refuses_order_delayed_past_the_lease(self):
        holder, contender = Holder(self, "a"), Holder(self, "b")
        await holder.lease.try_acquire()
        delayed = holder.reconciler._with_fencing_number(
            await holder.reconciler._next_order(
                holder.reconciler._desired_assignment()
            )
        )
        await self.assign("3")
        await self.take_over(contender)
        with self.assertRaises(errors.OrderRefusedError):
            await holder.reconciler._order_sender.send(delayed)
        self.assertEqual(self.version(), "3")

    async def test_late_order_is_repaired_where_numbers_are_ignored(self):
        self.use_engine(checks_fencing=False)
        holder, contender = Holder(self, "a"), Holder(self, "b")
        await holder.lease.try_acquire()
        delayed = holder.reconciler._with_fencing_number(
            await holder.reconciler._next_order(
                holder.reconciler._desired_assignment()
            )
        )
        await self.assign("3")
        await self.take_over(contender)
        await self.engine.send_order(delayed)
        self.assertEqual(self.version(), "2")
        self.assertTrue(await contender.reconciler.reconcile())
        self.assertEqual(self.version(), "3")

    async def test_one_engine_of_the_pool_changes_at_a_time(self):
        first = Holder(self, "a")
        second = Holder(self, "b", endpoint_id="drafting-1")
        first.admission.idle.clear()
        task = asyncio.create_task(first.reconciler.reconcile())
        await first.admission.pause_called.wait()
        self.assertFalse(await second.reconciler.reconcile())
        self.assertFalse(second.admission.paused)
        first.admission.idle.set()
        self.assertTrue(await task)

    async def test_newer_assignment_replaces_one_in_progress(self):
        holder = Holder(self, "a")
        holder.admission.idle.clear()
        task = asyncio.create_task(holder.reconciler.reconcile())
        await holder.admission.pause_called.wait()
        await self.assign("9")
        holder.admission.idle.set()
        self.assertTrue(await task)
        versions = [order.version for order in self.standin.orders.applied]
        self.assertEqual(versions, ["9"])

    async def test_platform_outage_sends_nothing(self):
        holder = Holder(self, "a")
        self.platform.faults = faults.Faults(faults.FaultMode.OUTAGE)
        self.assertFalse(await holder.reconciler.reconcile())
        self.assertEqual(self.standin.orders.applied, [])
        self.platform.faults = faults.Faults()
        self.assertTrue(await holder.reconciler.reconcile())

    async def test_waits_for_weight_store(self):
        await self.assign("2", weights_bytes=1_000_000)
        self.platform.weights.acquire(20_000_000)
        holder = Holder(self, "a")
        self.assertTrue(await holder.reconciler.reconcile())
        self.assertEqual(self.version(), "2")

    async def take_over(self, contender):
        """Lets a contender take over expired leases and change the engine."""
        await contender.reconciler.reconcile()
        contender.clock.advance(2 * _TTL_S)
        await contender.reconciler.reconcile()
        contender.clock.advance(2 * _TTL_S)
        self.assertTrue(await contender.reconciler.reconcile())

    async def free_leases(self):
        for found in self.platform.store.list_objects("leases/").objects:
            await self.platform.store.delete(found.key, found.version)


if __name__ == "__main__":
    unittest.main()
