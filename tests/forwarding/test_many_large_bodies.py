"""Tests of a gateway on which many callers send large bodies at once."""

import asyncio
import time
import unittest

from bronzeslip.forwarding import dispatch
from bronzeslip.routes import kind
from tests.support import asgi_caller
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import polling

_BODY_BYTES = 4 * 1024 * 1024
_CALLERS = 40
# What a request holds beside its body.
_REQUEST_BYTES = 24 * 1024
_UNAVAILABLE_STATUS = 503
_MAX_REFUSAL_S = 1.0


class _HoldingClient:
    """Fake client whose endpoints never respond."""

    def __init__(self):
        self.outgoing: list[dispatch.Dispatch] = []

    async def send(self, outgoing):
        self.outgoing.append(outgoing)
        await asyncio.Event().wait()


class ManyLargeBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = _HoldingClient()
        self.gateway = forwarding_gateway.ForwardingGateway(
            self.client,
            (
                forwarding_parts.create_endpoint("d1", service_name="desk"),
                forwarding_parts.create_endpoint("d2", service_name="desk"),
            ),
            forwarding_parts.create_memory(150_000_000, 60_000_000),
        )
        self.gateway.adopt(
            forwarding_parts.create_route(
                kind.RequestKind.AT_MOST_ONCE, max_attempts=1
            )
        )
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.assertEqual(self.gateway.memory.taken_bytes, 0)

    def start(self, caller, *fields):
        scope = forwarding_gateway.create_scope(f"q{len(self.tasks)}", fields)
        self.tasks.append(
            asyncio.create_task(
                self.gateway.serve_scope(scope, caller),
            )
        )

    def start_large(self, count=_CALLERS, sent_bytes=_BODY_BYTES):
        callers = []
        for _ in range(count):
            caller = asgi_caller.AsgiCaller(
                asgi_caller.create_body_message(
                    b"x" * sent_bytes, has_more=sent_bytes < _BODY_BYTES
                )
            )
            self.start(caller, (b"content-length", b"%d" % _BODY_BYTES))
            callers.append(caller)
        return callers

    def held_bytes(self):
        return sum(len(sent.request.body) for sent in self.client.outgoing)

    # Guards against a process that is killed because it holds every body that
    # its callers send.
    async def test_held_bodies_stay_within_the_budget(self):
        callers = self.start_large()
        capacity_bytes = self.gateway.memory.requests.capacity_bytes
        large_bytes = (
            capacity_bytes - self.gateway.memory.requests.reserve_bytes
        )
        expected_count = large_bytes // (_BODY_BYTES + _REQUEST_BYTES)
        await polling.wait_until(
            lambda: (
                sum(bool(caller.sent) for caller in callers)
                == _CALLERS - expected_count
            )
        )
        self.assertLessEqual(self.held_bytes(), capacity_bytes)
        self.assertEqual(len(self.client.outgoing), expected_count)

    async def test_what_does_not_fit_is_refused_soon_and_says_when(self):
        started_s = time.monotonic()
        callers = self.start_large()
        await polling.wait_until(lambda: callers[-1].sent)
        self.assertLess(time.monotonic() - started_s, _MAX_REFUSAL_S)
        self.assertEqual(callers[-1].status, _UNAVAILABLE_STATUS)
        self.assertIn(b"retry-after", callers[-1].headers)

    async def test_small_requests_are_served_beside_large_ones(self):
        self.start_large()
        await polling.wait_until(lambda: self.client.outgoing)
        held_count = len(self.client.outgoing)
        for _ in range(20):
            self.start(
                asgi_caller.AsgiCaller(asgi_caller.create_body_message(b"x")),
                (b"content-length", b"1"),
            )
        await polling.wait_until(
            lambda: len(self.client.outgoing) >= held_count + 20
        )

    async def test_unframed_bodies_are_refused_when_they_do_not_fit(self):
        callers = []
        for _ in range(_CALLERS):
            caller = asgi_caller.AsgiCaller(
                asgi_caller.create_body_message(b"x" * _BODY_BYTES)
            )
            self.start(caller, (b"transfer-encoding", b"chunked"))
            callers.append(caller)
        await polling.wait_until(lambda: callers[-1].sent)
        self.assertEqual(callers[-1].status, _UNAVAILABLE_STATUS)
        self.assertLessEqual(
            self.held_bytes(), self.gateway.memory.requests.capacity_bytes
        )

    async def test_bodies_that_stop_arriving_give_way(self):
        self.start_large(sent_bytes=1000)
        await asyncio.sleep(0)
        self.assertTrue(self.gateway.memory.requests.is_short)
        await polling.wait_until(
            lambda: not self.gateway.memory.requests.is_short
        )
        (whole,) = self.start_large(count=1)
        await polling.wait_until(lambda: self.client.outgoing)
        self.assertEqual(whole.sent, [])

    async def test_bodies_that_stop_arriving_are_kept_while_there_is_room(self):
        (stopped,) = self.start_large(count=1, sent_bytes=1000)
        await asyncio.sleep(1.5)
        self.assertEqual(stopped.sent, [])
