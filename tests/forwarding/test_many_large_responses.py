"""Tests of a gateway whose callers do not read large responses."""

import asyncio
import unittest

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.routes import kind
from tests.support import asgi_caller
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import polling

_BODY_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CALLERS = 60
_READ_AHEAD_BYTES = 128 * 1024


class _LargeResponse:
    """Fake response that counts the bytes which are taken from it."""

    verdict = endpoint_client.RunVerdict.MAY_HAVE_RUN
    is_leaving = False

    def __init__(self, client, framing):
        length = body_framing.BodyFraming.LENGTH
        self.head = endpoint_client.ResponseHead(
            200, (), _BODY_BYTES if framing is length else None, framing
        )
        self._client = client

    async def chunks(self):
        for _ in range(_BODY_BYTES // _CHUNK_BYTES):
            self._client.taken_bytes += _CHUNK_BYTES
            yield b"x" * _CHUNK_BYTES
            await asyncio.sleep(0)

    async def close(self):
        pass


class _LargeResponseClient:
    """Fake client whose endpoints respond with large bodies."""

    def __init__(self):
        self.framing = body_framing.BodyFraming.LENGTH
        self.taken_bytes = 0
        self.sent_count = 0

    async def send(self, outgoing):
        self.sent_count += 1
        return _LargeResponse(self, self.framing)


class _UnreadingCaller(asgi_caller.AsgiCaller):
    """Caller that does not read its response until it is told to."""

    def __init__(self, may_read):
        super().__init__(asgi_caller.create_body_message(b""))
        self._may_read = may_read
        self.received_bytes = 0

    async def send(self, message):
        await self._may_read.wait()
        self.received_bytes += len(message.get("body", b""))


class ManyLargeResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = _LargeResponseClient()
        self.gateway = forwarding_gateway.ForwardingGateway(
            self.client,
            (forwarding_parts.create_endpoint("d1", service_name="desk"),),
            forwarding_parts.create_memory(150_000_000, 60_000_000),
        )
        self.gateway.adopt(
            forwarding_parts.create_route(kind.RequestKind.AT_MOST_ONCE)
        )
        self.may_read = asyncio.Event()
        self.callers = [
            _UnreadingCaller(self.may_read) for _ in range(_CALLERS)
        ]
        self.tasks = []
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])

    async def start(self):
        self.tasks = [
            asyncio.create_task(
                self.gateway.serve_scope(
                    forwarding_gateway.create_scope(f"q{number}"), caller
                )
            )
            for number, caller in enumerate(self.callers)
        ]
        await polling.wait_until(lambda: self.client.sent_count >= _CALLERS)
        await asyncio.sleep(0.2)

    async def check_held_then_sent(self):
        await self.start()
        capacity_bytes = self.gateway.memory.responses.capacity_bytes
        self.assertLessEqual(
            self.client.taken_bytes,
            capacity_bytes + _CALLERS * _READ_AHEAD_BYTES,
        )
        self.assertGreater(self.client.taken_bytes, capacity_bytes // 2)
        self.may_read.set()
        await asyncio.wait_for(asyncio.gather(*self.tasks), 20)
        for caller in self.callers:
            self.assertEqual(caller.received_bytes, _BODY_BYTES)
        self.assertEqual(self.gateway.memory.taken_bytes, 0)

    # Guards against a process that is killed because it holds the responses of
    # all callers that do not read.
    async def test_held_responses_stay_within_the_budget(self):
        await self.check_held_then_sent()

    async def test_so_do_responses_of_unknown_length(self):
        self.client.framing = body_framing.BodyFraming.CHUNKED
        await self.check_held_then_sent()

    async def test_callers_that_leave_give_back_their_room(self):
        await self.start()
        for caller in self.callers:
            caller.disconnect()
        await asyncio.wait_for(asyncio.gather(*self.tasks), 20)
        self.assertEqual(self.gateway.memory.taken_bytes, 0)
