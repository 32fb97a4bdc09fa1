"""Tests of admission based on predicted memory use."""

import asyncio
import dataclasses
import unittest

from bench import virtual_loop
from bronzeslip import ids
from bronzeslip.admission import errors
from bronzeslip.admission import memory_gate
from bronzeslip.admission import request
from bronzeslip.configuration import workspace
from bronzeslip.engine import messages
from bronzeslip.settings import sidecar
from bronzeslip.transport.frames import reason

_SETTINGS = sidecar.SidecarSettings(
    vm_id="vm",
    region="here",
    failure_domain="here-1",
    peer_key="key",
    platform_url="",
    endpoint_id="e",
    pool="p",
    endpoint_url="",
)
_DRAFT = workspace.WorkspaceClass.DRAFT
_INTERACTIVE = workspace.WorkspaceClass.INTERACTIVE


def _request(workspace_class=_DRAFT, **changes):
    fields = {
        "generation_id": ids.GenerationId("g"),
        "workspace_id": ids.WorkspaceId(workspace_class.value),
        "service_name": ids.ServiceName("s"),
        "workspace_class": workspace_class,
        "weight": 1.0,
        "prompt_bytes": 400,
        "max_tokens": 400,
        "expires_in_s": 60.0,
    }
    return request.AdmissionRequest(**{**fields, **changes})


def _report(blocks_used=0, blocks_total=64, preemptions=0):
    return messages.EngineLoad(
        1, 0, blocks_used, blocks_total, 16, 0.02, preemptions
    )


class MemoryGateTest(unittest.TestCase):
    def gate(self, **changes):
        created = memory_gate.MemoryGate(
            dataclasses.replace(_SETTINGS, **changes)
        )
        created.apply_report(_report())
        return created

    async def fill(self, gate, workspace_class=_DRAFT):
        """Admits until a request would have to wait; returns the tickets."""
        tickets = []
        while True:
            try:
                tickets.append(
                    await gate.admit(
                        _request(workspace_class, max_queue_wait_s=-1.0)
                    )
                )
            except errors.AdmissionRefusedError as error:
                self.assertIs(error.refusal, reason.RefusalReason.BUSY)
                return tickets

    def test_leaves_room_for_growth(self):
        async def main():
            gate = self.gate()
            tickets = await self.fill(gate)
            used = len(tickets) * 100
            self.assertGreater(len(tickets), 1)
            self.assertLess(used, 0.8 * 64 * 16)
            return len(tickets)

        permissive = {"memory_overflow_probability": 0.5}
        self.assertGreater(virtual_loop.run(main()), 1)

        async def count(**changes):
            return len(await self.fill(self.gate(**changes)))

        self.assertGreater(
            virtual_loop.run(count(**permissive)), virtual_loop.run(count())
        )

    def test_queued_request_is_admitted_when_another_ends(self):
        async def main():
            gate = self.gate()
            tickets = await self.fill(gate)
            waiting = asyncio.create_task(gate.admit(_request()))
            await asyncio.sleep(0)
            self.assertEqual(gate.load.queued, 1)
            for ticket in tickets[:2]:
                gate.release(ticket, is_complete=True)
            gate.release(await waiting, is_complete=True)
            for ticket in tickets[2:]:
                gate.release(ticket, is_complete=False)
            await gate.wait_idle()
            self.assertEqual(gate.load.queued, 0)

        virtual_loop.run(main())

    def test_expired_request_is_refused_in_time(self):
        async def main():
            gate = self.gate()
            await self.fill(gate)
            with self.assertRaises(errors.AdmissionRefusedError) as caught:
                await gate.admit(_request(expires_in_s=30.0))
            self.assertIs(
                caught.exception.refusal, reason.RefusalReason.EXPIRED
            )
            self.assertGreater(caught.exception.retry_after_s, 0)
            self.assertEqual(gate.load.queued, 0)

        virtual_loop.run(main())

    def test_cancelled_request_is_removed_from_queue(self):
        async def main():
            gate = self.gate()
            await self.fill(gate)
            waiting = asyncio.create_task(gate.admit(_request()))
            await asyncio.sleep(0)
            waiting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await waiting
            self.assertEqual(gate.load.queued, 0)

        virtual_loop.run(main())

    def test_request_cancelled_after_admission_releases_its_memory(self):
        async def main():
            gate = self.gate()
            tickets = await self.fill(gate)
            waiting = asyncio.create_task(gate.admit(_request()))
            await asyncio.sleep(0)
            for ticket in tickets:
                gate.release(ticket, is_complete=False)
            waiting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await waiting
            await gate.wait_idle()
            self.assertAlmostEqual(gate.load.memory_used_ratio, 0.0)

        virtual_loop.run(main())

    def test_interactive_reserve_is_kept_while_drafts_fill_memory(self):
        async def main():
            gate = self.gate(interactive_reserve_ratio=0.3)
            await self.fill(gate)
            admission_request = _request(
                _INTERACTIVE, max_tokens=4, max_queue_wait_s=-1.0
            )
            await gate.admit(admission_request)

        virtual_loop.run(main())

    def test_burst_of_interactive_requests_leaves_floor_to_drafts(self):
        async def main():
            gate = self.gate(draft_floor_ratio=0.6)
            tickets = await self.fill(gate, _INTERACTIVE)
            draft = asyncio.create_task(gate.admit(_request()))
            interactive_tasks = [
                asyncio.create_task(gate.admit(_request(_INTERACTIVE)))
                for _ in range(20)
            ]
            await asyncio.sleep(0)
            for ticket in tickets:
                gate.release(ticket, is_complete=True)
            await asyncio.sleep(1)
            self.assertTrue(draft.done())
            self.assertFalse(all(task.done() for task in interactive_tasks))
            for task in interactive_tasks:
                task.cancel()

        virtual_loop.run(main())

    def test_heavy_workspace_does_not_delay_light_one(self):
        async def main():
            gate = self.gate()
            tickets = await self.fill(gate)
            heavy = [
                asyncio.create_task(gate.admit(_request(workspace_id="a")))
                for _ in range(20)
            ]
            await asyncio.sleep(0)
            light = asyncio.create_task(gate.admit(_request(workspace_id="b")))
            await asyncio.sleep(0)
            for ticket in tickets:
                gate.release(ticket, is_complete=True)
            await asyncio.sleep(0)
            self.assertTrue(light.done())
            self.assertFalse(all(task.done() for task in heavy))
            for task in heavy:
                task.cancel()

        virtual_loop.run(main())

    def test_implausible_report_is_ignored(self):
        async def main():
            gate = self.gate()
            await self.fill(gate)
            before = gate.load
            gate.apply_report(_report(blocks_used=99, blocks_total=0))
            self.assertEqual(gate.load, before)

        virtual_loop.run(main())

    def test_report_of_more_used_than_total_memory_is_applied(self):
        async def main():
            gate = self.gate()
            before = len(await self.fill(gate))
            other = self.gate()
            other.apply_report(_report(blocks_used=48, blocks_total=32))
            self.assertLess(len(await self.fill(other)), before)

        virtual_loop.run(main())

    def test_memory_used_by_others_reduces_capacity(self):
        async def main():
            gate = self.gate()
            free = len(await self.fill(gate))
            other = self.gate()
            for _ in range(8):
                other.apply_report(_report(blocks_used=30))
            self.assertLess(len(await self.fill(other)), free)

        virtual_loop.run(main())


if __name__ == "__main__":
    unittest.main()
