"""Tests of a gateway whose engines send large events that do not end."""

import asyncio
import unittest

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.routes import kind
from bronzeslip.routes import route
from tests.support import asgi_caller
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import polling

_EVENT_BYTES = 768 * 1024
_CHUNK_BYTES = 32 * 1024
_STREAMS = 60
_READ_AHEAD_BYTES = 128 * 1024


class _LargeEventResponse:
    """Fake stream of one event, which ends only when it is told to."""

    verdict = endpoint_client.RunVerdict.MAY_HAVE_RUN
    is_leaving = False
    head = endpoint_client.ResponseHead(
        200, (), framing=body_framing.BodyFraming.CHUNKED
    )

    def __init__(self, client):
        self._client = client

    async def chunks(self):
        yield b"data: "
        for _ in range(_EVENT_BYTES // _CHUNK_BYTES):
            self._client.taken_bytes += _CHUNK_BYTES
            yield b"x" * _CHUNK_BYTES
            await asyncio.sleep(0)
        await self._client.may_end.wait()
        yield b"\n\n"

    async def close(self):
        pass


class _LargeEventClient:
    """Fake client of engines that send large events."""

    def __init__(self):
        self.may_end = asyncio.Event()
        self.taken_bytes = 0
        self.sent_count = 0

    async def send(self, outgoing):
        self.sent_count += 1
        return _LargeEventResponse(self)


class ManyLargeEventsTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that is killed because it holds an incomplete
    # event of each stream.
    async def test_held_events_stay_within_the_budget(self):
        client = _LargeEventClient()
        gateway = forwarding_gateway.ForwardingGateway(
            client,
            (forwarding_parts.create_endpoint("e1", slots=_STREAMS),),
            forwarding_parts.create_memory(150_000_000, 60_000_000),
        )
        gateway.adopt(
            forwarding_parts.create_route(
                kind.RequestKind.STREAM,
                services=(
                    route.WeightedService(forwarding_parts.ENGINE_SERVICE.name),
                ),
            )
        )
        callers = [
            asgi_caller.AsgiCaller(asgi_caller.create_body_message(b""))
            for _ in range(_STREAMS)
        ]
        tasks = [
            asyncio.create_task(
                gateway.serve_scope(
                    forwarding_gateway.create_scope(f"q{number}"), caller
                )
            )
            for number, caller in enumerate(callers)
        ]
        self.addCleanup(lambda: [task.cancel() for task in tasks])
        await polling.wait_until(lambda: client.sent_count == _STREAMS)
        before_bytes = -1
        while client.taken_bytes != before_bytes:
            before_bytes = client.taken_bytes
            await asyncio.sleep(0.3)
        capacity_bytes = gateway.memory.responses.capacity_bytes
        self.assertLessEqual(
            client.taken_bytes, capacity_bytes + _STREAMS * _READ_AHEAD_BYTES
        )
        client.may_end.set()
        await asyncio.wait_for(asyncio.gather(*tasks), 20)
        for caller in callers:
            body = b"".join(message.get("body", b"") for message in caller.sent)
            self.assertEqual(len(body), len(b"data: \n\n") + _EVENT_BYTES)
        self.assertEqual(gateway.memory.taken_bytes, 0)
