"""Tests of bronzeslip.forwarding.stream_run.

Engines are reclaimed one after the other while they run long generations. A
generation must resume from its standby copy, with each event sent once.
"""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import stream_run
from tests.support import forwarding_parts
from tests.support import polling
from tests.support import scripted_endpoints

_RESPONSE_LOST = endpoint_errors.EndpointResponseLostError("reset")
_FIRST = b"id: 1\ndata: a\n\n"
_SECOND = b"id: 2\ndata: b\n\n"
_THIRD = b"id: 3\ndata: c\n\n"


class ReclaimTest(unittest.IsolatedAsyncioTestCase):
    """A long generation runs on 'one'; 'two' is in its region, 'far' is not."""

    async def _start(self, responses, others):
        one = forwarding_parts.create_endpoint("one")
        self.client = scripted_endpoints.ScriptedEndpointClient(responses)
        self.components = forwarding_parts.create_components(
            self.client, (one,)
        )
        request = forwarding_parts.admit_generation()
        self.reply = scripted_endpoints.RecordedReply()
        self.run = stream_run.StreamRun(self.components, request, self.reply)
        serving = asyncio.create_task(self.run.serve())
        await polling.wait_until(lambda: self.reply.body)
        for other in others:
            self.components.endpoints.put(other)
        return serving

    async def _start_and_copy(self):
        """Reclaims 'one' and waits for a copy at 'two'.

        Returns:
            The task that serves the run, and the event that cuts it.
        """
        cut = asyncio.Event()
        serving = await self._start(
            {
                "one": [
                    scripted_endpoints.ScriptedResponse(
                        200, [_FIRST, cut, _RESPONSE_LOST]
                    )
                ],
                "two": [scripted_endpoints.ScriptedResponse(200, [_SECOND])],
            },
            [forwarding_parts.create_endpoint("two", "a-2")],
        )
        self._reclaim()
        await polling.wait_until(lambda: self.client.copies)
        return serving, cut

    def _reclaim(self):
        self.components.endpoints.put(
            forwarding_parts.create_endpoint(
                "one", state=endpoint.EndpointState.LEAVING
            )
        )

    async def test_generation_resumes_from_copy_with_each_event_once(self):
        cut = asyncio.Event()
        broken = [_FIRST, cut, _SECOND + b"id: 3\nda", _RESPONSE_LOST]
        serving = await self._start(
            {
                "one": [scripted_endpoints.ScriptedResponse(200, broken)],
                "two": [scripted_endpoints.ScriptedResponse(200, [_THIRD])],
            },
            [forwarding_parts.create_endpoint("two", "a-2")],
        )
        self._reclaim()
        await polling.wait_until(lambda: self.client.copies)
        cut.set()
        await asyncio.wait_for(serving, 5)
        self.assertEqual(self.reply.body, _FIRST + _SECOND + _THIRD)
        self.assertTrue(self.reply.is_finished)
        resumed = self.client.sent[1]
        self.assertEqual(resumed.endpoint.endpoint_id, "two")
        self.assertEqual(resumed.after_event_id, "2")
        self.assertEqual(resumed.source.handle, "h1")

    async def test_no_advance_copy_is_made_with_a_neighbour(self):
        end = asyncio.Event()
        serving = await self._start(
            {"one": [scripted_endpoints.ScriptedResponse(200, [_FIRST, end])]},
            [
                forwarding_parts.create_endpoint("two", "a-2"),
                forwarding_parts.create_endpoint("far", "b-1"),
            ],
        )
        await asyncio.sleep(0.1)
        self.assertEqual(self.client.copies, [])
        end.set()
        await asyncio.wait_for(serving, 5)

    async def test_advance_copy_is_made_without_a_neighbour(self):
        end = asyncio.Event()
        serving = await self._start(
            {"one": [scripted_endpoints.ScriptedResponse(200, [_FIRST, end])]},
            [forwarding_parts.create_endpoint("far", "b-1")],
        )
        await polling.wait_until(lambda: self.client.copies)
        self.assertEqual(self.client.copies[0], ("one", "far"))
        end.set()
        await asyncio.wait_for(serving, 5)
        await polling.wait_until(lambda: self.client.dropped_copies)
        self.assertEqual(self.client.dropped_copies, [("one", "h1")])

    async def test_copy_avoids_targets_that_leave_or_do_not_respond(self):
        for name in ("leaving", "unresponsive"):
            with self.subTest(name):
                end = asyncio.Event()
                serving = await self._start(
                    {
                        "one": [
                            scripted_endpoints.ScriptedResponse(
                                200, [_FIRST, end]
                            )
                        ]
                    },
                    [
                        forwarding_parts.create_endpoint("two", "a-1"),
                        forwarding_parts.create_endpoint("three", "a-2"),
                    ],
                )
                getattr(self.client, name).add("two")
                self._reclaim()
                await polling.wait_until(lambda: self.client.copies)
                self.assertEqual(self.client.copies[0], ("one", "three"))
                end.set()
                await asyncio.wait_for(serving, 5)

    async def test_resumption_from_a_copy_uses_the_retry_budget(self):
        serving, cut = await self._start_and_copy()
        budget = self.components.retry_budgets.of_service(
            ids.ServiceName("pool")
        )
        while budget.take():
            pass
        cut.set()
        with self.assertRaises(errors.ResponseInterruptedError):
            await asyncio.wait_for(serving, 5)
        self.assertEqual(len(self.client.sent), 1)

    async def test_failures_of_replaced_endpoints_are_forgotten(self):
        components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({})
        )
        for number in range(500):
            gone = forwarding_parts.create_endpoint(f"i-{number}")
            components.endpoints.put(gone)
            components.failures.record_failure(gone.endpoint_id)
            components.endpoints.put(
                forwarding_parts.create_endpoint(
                    f"i-{number}", started_unix_ms=1
                )
            )
            self.assertEqual(components.failures.score_of(gone.endpoint_id), 0)

    async def test_target_is_confirmed_once(self):
        end = asyncio.Event()
        serving = await self._start(
            {"one": [scripted_endpoints.ScriptedResponse(200, [_FIRST, end])]},
            [forwarding_parts.create_endpoint("two", "a-1")],
        )
        self._reclaim()
        await polling.wait_until(lambda: len(self.client.copies) > 1)
        self.assertEqual(self.client.reported, ["two"])
        end.set()
        await asyncio.wait_for(serving, 5)

    async def test_refused_renewal_keeps_the_existing_copy(self):
        serving, cut = await self._start_and_copy()
        self.client.refuses_copies = True
        await polling.wait_until(lambda: len(self.client.copies) > 1)
        cut.set()
        await asyncio.wait_for(serving, 5)
        self.assertEqual(self.reply.body, _FIRST + _SECOND)

    async def test_generation_without_a_copy_is_interrupted(self):
        broken = [_FIRST, _RESPONSE_LOST]
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {"one": [scripted_endpoints.ScriptedResponse(200, broken)]}
        )
        self.components = forwarding_parts.create_components(
            self.client, (forwarding_parts.create_endpoint("one"),)
        )
        reply = scripted_endpoints.RecordedReply()
        run = stream_run.StreamRun(
            self.components, forwarding_parts.admit_generation(), reply
        )
        with self.assertRaises(errors.ResponseInterruptedError):
            await run.serve()
        self.assertFalse(reply.is_finished)
