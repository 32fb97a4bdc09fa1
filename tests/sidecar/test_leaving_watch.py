"""Tests of detecting that an endpoint is about to be reclaimed."""

import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import in_force
from bronzeslip.membership import member
from bronzeslip.sidecar import leaving_watch
from bronzeslip.store import objects
from tests.membership import member_factory


class ReclaimWatcherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.calls = []
        self.own_record = member_factory.create_sidecar(
            "vm-1", incarnation="own"
        )
        self.watcher = leaving_watch.ReclaimWatcher(
            None,
            ids.IncarnationId("own"),
            None,
            in_force.ActiveConfiguration(),
            lambda: self.calls.append("leaving"),
        )

    async def put_record(self, **changes):
        record = msgspec.structs.replace(self.own_record, **changes)
        await self.watcher.on_event(
            objects.ObjectEvent(
                objects.EventKind.PUT,
                member.key_of(record),
                1,
                msgspec.json.encode(record),
            )
        )

    async def test_marked_record_is_noticed_once(self):
        await self.put_record()
        self.assertEqual(self.calls, [])
        for _ in range(2):
            await self.put_record(state=member.MemberState.DRAINING)
        self.assertEqual(self.calls, ["leaving"])

    async def test_record_that_the_sidecar_marks_itself_is_ignored(self):
        self.watcher.ignore_record()
        await self.put_record(state=member.MemberState.DRAINING)
        self.assertEqual(self.calls, [])

    async def test_record_of_another_incarnation_is_ignored(self):
        await self.put_record(
            state=member.MemberState.DRAINING, incarnation_id="other"
        )
        self.assertEqual(self.calls, [])


if __name__ == "__main__":
    unittest.main()
