"""Tests of bronzeslip.platform.ingress over the ASGI interface."""

import asyncio
import unittest

from bronzeslip.forwarding import errors
from bronzeslip.platform import ingress
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import asgi_caller
from tests.support import forwarding_parts
from tests.support import polling


class _Pipeline:
    """Pipeline that fails, answers or waits as a test says."""

    def __init__(self, error=None, waits=False):
        self.error = error
        self.waits = waits
        self.request = None
        self.was_cancelled = False

    async def serve(self, request, to_caller):
        self.request = request
        try:
            if self.waits:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        if self.error is not None:
            raise self.error


_SCOPE = {
    "type": "http",
    "method": "POST",
    "target": b"/p/",
    "raw_path": b"/p/",
    "headers": [(b"host", b"h.example"), (b"bronzeslip-attempt-id", b"q1")],
}


class IngressTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, pipeline, caller):
        current_table = current.CurrentTable()
        current_table.adopt(
            forwarding_parts.create_table(
                forwarding_parts.create_route(kind.RequestKind.IDEMPOTENT)
            )
        )
        app = ingress.Ingress(pipeline, current_table)
        await app(_SCOPE, caller.receive, caller.send)

    async def test_body_in_parts_is_joined(self):
        pipeline = _Pipeline()
        await self._serve(
            pipeline,
            asgi_caller.AsgiCaller(
                asgi_caller.create_body_message(b"a", has_more=True),
                asgi_caller.create_body_message(b"b"),
            ),
        )
        self.assertEqual(pipeline.request.body, b"ab")

    async def test_torn_request_is_not_served(self):
        pipeline = _Pipeline()
        caller = asgi_caller.AsgiCaller(
            asgi_caller.create_body_message(b"a", has_more=True),
            {"type": "http.disconnect"},
        )
        await self._serve(pipeline, caller)
        self.assertIsNone(pipeline.request)
        self.assertEqual(caller.sent, [])

    async def test_caller_that_leaves_cancels_the_work(self):
        pipeline = _Pipeline(waits=True)
        caller = asgi_caller.AsgiCaller(asgi_caller.create_body_message(b""))
        serve_task = asyncio.create_task(self._serve(pipeline, caller))
        await polling.wait_until(lambda: pipeline.request)
        caller.disconnect()
        await asyncio.wait_for(serve_task, 5)
        self.assertTrue(pipeline.was_cancelled)
        self.assertEqual(caller.sent, [])

    async def test_errors_have_their_status(self):
        for error, status in (
            (errors.BadRequestError("x"), 400),
            (errors.UnknownKeyError("x"), 401),
            (errors.UnknownRouteError("x"), 404),
            (errors.BodyTooLargeError("x"), 413),
            (errors.OverloadedError("x"), 429),
            (errors.OutcomeUnknownError("x"), 502),
            (errors.NotRunError("x"), 503),
            (errors.DeadlineExceededError("x"), 504),
        ):
            with self.subTest(status=status):
                caller = asgi_caller.AsgiCaller(
                    asgi_caller.create_body_message(b"")
                )
                await self._serve(_Pipeline(error), caller)
                self.assertEqual(caller.status, status)
                self.assertNotIn(b"bronzeslip-response-stamp", caller.headers)

    async def test_refusal_says_when_to_come_back(self):
        caller = asgi_caller.AsgiCaller(asgi_caller.create_body_message(b""))
        error = errors.NotRunError("x", retry_after_s=0.5)
        await self._serve(_Pipeline(error), caller)
        self.assertEqual(caller.headers[b"retry-after"], b"0.50")

    async def test_large_body_is_refused(self):
        caller = asgi_caller.AsgiCaller(
            asgi_caller.create_body_message(b"x" * 5_000_000)
        )
        pipeline = _Pipeline()
        await self._serve(pipeline, caller)
        self.assertEqual(caller.status, 413)
        self.assertIsNone(pipeline.request)
