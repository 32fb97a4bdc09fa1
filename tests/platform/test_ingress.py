"""Tests of bronzeslip.platform.ingress over the ASGI interface."""

import asyncio
import unittest

from bronzeslip.forwarding import errors
from bronzeslip.platform import body_reader
from bronzeslip.platform import ingress
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import asgi_caller
from tests.support import forwarding_parts
from tests.support import polling


class _FakePipeline:
    """Fake pipeline that raises an error, returns or blocks."""

    def __init__(self, error=None, blocks=False):
        self.error = error
        self.blocks = blocks
        self.request = None
        self.was_cancelled = False

    async def serve(self, request, to_caller):
        self.request = request
        try:
            if self.blocks:
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
        memory = forwarding_parts.create_memory()
        app = ingress.Ingress(
            pipeline, body_reader.BodyReader(memory, current_table), memory
        )
        await app(_SCOPE, caller.receive, caller.send)

    async def test_body_chunks_are_joined(self):
        pipeline = _FakePipeline()
        await self._serve(
            pipeline,
            asgi_caller.AsgiCaller(
                asgi_caller.create_body_message(b"a", has_more=True),
                asgi_caller.create_body_message(b"b"),
            ),
        )
        self.assertEqual(pipeline.request.body, b"ab")

    async def test_incomplete_request_is_not_forwarded(self):
        pipeline = _FakePipeline()
        caller = asgi_caller.AsgiCaller(
            asgi_caller.create_body_message(b"a", has_more=True),
            {"type": "http.disconnect"},
        )
        await self._serve(pipeline, caller)
        self.assertIsNone(pipeline.request)
        self.assertEqual(caller.sent, [])

    async def test_disconnect_cancels_the_request(self):
        pipeline = _FakePipeline(blocks=True)
        caller = asgi_caller.AsgiCaller(asgi_caller.create_body_message(b""))
        serve_task = asyncio.create_task(self._serve(pipeline, caller))
        await polling.wait_until(lambda: pipeline.request)
        caller.disconnect()
        await asyncio.wait_for(serve_task, 5)
        self.assertTrue(pipeline.was_cancelled)
        self.assertEqual(caller.sent, [])

    async def test_errors_are_mapped_to_status_codes(self):
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
                await self._serve(_FakePipeline(error), caller)
                self.assertEqual(caller.status, status)
                self.assertNotIn(b"bronzeslip-response-stamp", caller.headers)

    async def test_retry_delay_is_sent(self):
        caller = asgi_caller.AsgiCaller(asgi_caller.create_body_message(b""))
        error = errors.NotRunError("x", retry_after_s=0.5)
        await self._serve(_FakePipeline(error), caller)
        self.assertEqual(caller.headers[b"retry-after"], b"0.50")

    async def test_large_body_is_rejected(self):
        caller = asgi_caller.AsgiCaller(
            asgi_caller.create_body_message(b"x" * 5_000_000)
        )
        pipeline = _FakePipeline()
        await self._serve(pipeline, caller)
        self.assertEqual(caller.status, 413)
        self.assertIsNone(pipeline.request)
