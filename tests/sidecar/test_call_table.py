"""Tests of the table of non-idempotent calls."""

import asyncio
import types
import unittest

from bronzeslip.sidecar import call_table
from bronzeslip.transport.frames import call as frames
from bronzeslip.transport.frames import reason

_SETTINGS = types.SimpleNamespace(
    dispatch_window_s=10.0, call_grace_s=30.0, kept_calls_bytes=1000
)


class CallTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_s = 100.0
        self.runs = []
        self.released = asyncio.Event()
        self.table = self.create_table("first")

    def create_table(self, incarnation_id):
        return call_table.CallTable(
            _SETTINGS, incarnation_id, self.send, lambda: self.now_s
        )

    async def send(self, start):
        self.runs.append(start.call_id)
        await self.released.wait()
        return frames.CallFinished(start.call_id, 200, (), b"done")

    def start(self, call_id, ticket):
        return frames.StartCall(
            call_id, "", "", "", "POST", "/", (), b"", False, 60.0, ticket
        )

    async def query(self, call_id, ticket, settle=False, table=None):
        return await (table or self.table).query(
            frames.QueryCall("question", call_id, ticket, settle)
        )

    def assert_refused(self, outcome, refusal):
        self.assertIsInstance(outcome, frames.CallRefused)
        self.assertIs(outcome.reason, refusal)
        self.assertEqual(self.runs, [])

    async def test_same_call_runs_once(self):
        self.released.set()
        start = self.start("c", self.table.issue_ticket())
        outcomes = await asyncio.gather(
            self.table.run(start), self.table.run(start)
        )
        self.assertEqual(self.runs, ["c"])
        self.assertEqual(outcomes[0], outcomes[1])

    async def test_refuses_dispatch_without_valid_ticket(self):
        ticket = self.table.issue_ticket()
        self.now_s += 10.5
        self.assert_refused(
            await self.table.run(self.start("c", ticket)),
            reason.RefusalReason.EXPIRED,
        )
        self.assert_refused(
            await self.table.run(self.start("c", None)),
            reason.RefusalReason.EXPIRED,
        )

    async def test_refuses_ticket_of_earlier_incarnation(self):
        ticket = self.table.issue_ticket()
        self.assert_refused(
            await self.create_table("second").run(self.start("c", ticket)),
            reason.RefusalReason.WRONG_INCARNATION,
        )

    async def test_settled_call_is_refused_when_it_arrives(self):
        ticket = self.table.issue_ticket()
        await self.query("c", ticket, settle=True)
        self.assert_refused(
            await self.table.run(self.start("c", ticket)),
            reason.RefusalReason.CANCELLED,
        )

    async def test_absent_call_is_pending_until_its_ticket_expires(self):
        ticket = self.table.issue_ticket()
        self.assertIsInstance(await self.query("c", ticket), frames.CallPending)
        self.now_s += 10.5
        self.assert_refused(
            await self.query("c", ticket), reason.RefusalReason.EXPIRED
        )

    async def test_running_call_is_pending_until_it_finishes(self):
        ticket = self.table.issue_ticket()
        running = asyncio.create_task(self.table.run(self.start("c", ticket)))
        await asyncio.sleep(0)
        self.assertIsInstance(await self.query("c", ticket), frames.CallPending)
        self.released.set()
        settled = await self.query("c", ticket, settle=True)
        self.assertEqual(settled, await running)

    async def test_outcome_is_unknown_to_other_incarnation(self):
        outcome = await self.query(
            "c", self.table.issue_ticket(), table=self.create_table("second")
        )
        self.assertIsInstance(outcome, frames.CallOutcomeUnknown)

    async def test_evicted_call_is_never_reported_as_not_run(self):
        self.released.set()
        ticket = self.table.issue_ticket()
        await self.table.run(self.start("c", ticket))
        self.now_s += 31.0
        await self.table.run(self.start("d", self.table.issue_ticket()))
        self.assertIsInstance(
            await self.query("c", ticket, settle=True),
            frames.CallOutcomeUnknown,
        )


if __name__ == "__main__":
    unittest.main()
