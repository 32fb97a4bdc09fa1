"""Tests of streams whose callers read slowly, stop reading or leave.

Engines wait for a response to be read, and abort one that stays unread for some
seconds. A slow caller must not cost its engine that time.
"""

import asyncio
import unittest

import msgspec

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import read_ahead
from bronzeslip.forwarding import stream_run
from bronzeslip.memory import pool
from bronzeslip.memory import reservation
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import polling
from tests.support import scripted_endpoints

_LIMIT_BYTES = read_ahead.LIMIT_BYTES
_EVENTS = [
    b"id: %d\ndata: %s\n\n" % (number, b"x" * 1000) for number in range(1, 801)
]
_FEW = len(_EVENTS) // 8
_LOST = endpoint_errors.EndpointResponseLostError("reset")


class _CountedResponse(scripted_endpoints.ScriptedResponse):
    """Response that counts the chunks that were read."""

    read_count = 0

    async def chunks(self):
        async for chunk in super().chunks():
            self.read_count += 1
            yield chunk
            await asyncio.sleep(0)


class _SlowReply(scripted_endpoints.RecordedReply):
    """Reply whose caller reads only while it is told to."""

    def __init__(self, memory):
        super().__init__()
        self.memory = memory
        self.reads = asyncio.Event()

    async def write(self, body):
        await self.reads.wait()
        await super().write(body)


class SlowClientTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.pool = pool.MemoryPool(16 * _LIMIT_BYTES)

    def _start(self, *chunks, then=(), limit_bytes=_LIMIT_BYTES, **changes):
        self.response = _CountedResponse(200, chunks, **changes)
        others = [scripted_endpoints.ScriptedResponse(200, then)]
        scripts = [self.response, *others]
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {"one": scripts, "two": scripts}
        )

        async def send(outgoing):
            self.client.sent.append(outgoing)
            return scripts.pop(0)

        self.client.send = send
        components = forwarding_parts.create_components(
            self.client,
            [forwarding_parts.create_endpoint(name) for name in ("one", "two")],
        )
        request = forwarding_parts.admit(
            forwarding_parts.create_generation_request(),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
            is_resumable=True,
        )
        self.reply = _SlowReply(reservation.Reservation(self.pool))
        run = stream_run.StreamRun(
            msgspec.structs.replace(components, read_ahead_bytes=limit_bytes),
            request,
            self.reply,
        )
        self.task = asyncio.create_task(run.serve())
        self.addCleanup(self.task.cancel)

    async def _wait_until_reading_stops(self):
        before = -1
        while before != self.response.read_count:
            before = self.response.read_count
            await asyncio.sleep(0.05)
        return before

    async def _finish(self):
        self.reply.reads.set()
        await asyncio.wait_for(self.task, 5)
        self.assertTrue(self.reply.is_finished)
        self.assertEqual(self.pool.taken_bytes, 0)

    async def test_engine_is_read_to_its_end_before_the_caller_reads(self):
        self._start(*_EVENTS[:_FEW])
        self.assertEqual(await self._wait_until_reading_stops(), _FEW)
        await self._finish()
        self.assertEqual(self.reply.body, b"".join(_EVENTS[:_FEW]))

    # Guards against one caller that takes the memory of the process.
    async def test_buffer_of_a_caller_that_stops_is_bounded(self):
        self._start(*_EVENTS)
        read = await self._wait_until_reading_stops()
        self.assertGreater(read * 1000, _LIMIT_BYTES / 2)
        self.assertLess(read * 1000, 1.2 * _LIMIT_BYTES)
        self.assertLessEqual(self.pool.taken_bytes, _LIMIT_BYTES)
        await self._finish()
        self.assertEqual(self.reply.body, b"".join(_EVENTS))

    # Guards against reading ahead with memory that other responses need.
    async def test_nothing_is_read_ahead_while_memory_is_short(self):
        self.pool.force(self.pool.capacity_bytes)
        self._start(*_EVENTS)
        self.assertLessEqual(await self._wait_until_reading_stops(), 2)
        self.reply.reads.set()
        await asyncio.wait_for(self.task, 5)
        self.assertEqual(self.reply.body, b"".join(_EVENTS))
        self.assertEqual(self.pool.taken_bytes, self.pool.capacity_bytes)

    # Guards against events lost or sent twice, had the next engine gone on
    # after the last event that was read instead of the last that was handed on.
    async def test_engine_lost_while_its_events_wait_for_the_caller(self):
        self._start(*_EVENTS[:20], b"id: 21\nda", _LOST, then=[_EVENTS[20]])
        await self._wait_until_reading_stops()
        self.assertEqual(len(self.client.sent), 1)
        await self._finish()
        self.assertEqual(self.reply.body, b"".join(_EVENTS[:21]))
        self.assertEqual(self.client.sent[1].after_event_id, "20")

    # Guards against a complete response that counts as cut off, because its
    # engine left before the caller had read it.
    async def test_engine_that_leaves_while_its_events_wait(self):
        self._start(
            *_EVENTS[:20], framing=body_framing.BodyFraming.CONNECTION_END
        )
        await self._wait_until_reading_stops()
        self.client.absent |= {"one", "two"}
        await self._finish()
        self.assertEqual(self.reply.body, b"".join(_EVENTS[:20]))
        self.assertEqual(len(self.client.sent), 1)

    async def test_caller_that_leaves_frees_engine_and_memory(self):
        self._start(*_EVENTS)
        await self._wait_until_reading_stops()
        self.assertGreater(self.pool.taken_bytes, 0)
        self.task.cancel()
        await asyncio.wait((self.task,))
        self.assertTrue(self.response.is_closed)
        self.assertEqual(self.pool.taken_bytes, 0)

    # Guards against memory that all streams hold between two events.
    async def test_caller_that_has_caught_up_holds_no_memory(self):
        more = asyncio.Event()
        self._start(*_EVENTS[:9], more, *_EVENTS[9:20])
        await self._wait_until_reading_stops()
        self.assertGreater(self.pool.taken_bytes, 0)
        self.reply.reads.set()
        await polling.wait_until(lambda: len(self.reply.body) > 9000)
        self.assertEqual(self.pool.taken_bytes, 0)
        more.set()
        await self._finish()

    async def test_without_the_contract_nothing_is_read_ahead(self):
        self._start(*_EVENTS, limit_bytes=0)
        self.assertEqual(await self._wait_until_reading_stops(), 1)
        await self._finish()
        self.assertEqual(self.reply.body, b"".join(_EVENTS))


if __name__ == "__main__":
    unittest.main()
