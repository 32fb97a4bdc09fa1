"""Tests of bronzeslip.platform.body_reader."""

import unittest

from bronzeslip.forwarding import errors
from bronzeslip.memory import reservation
from bronzeslip.platform import body_reader
from bronzeslip.routes import current
from tests.support import asgi_caller
from tests.support import forwarding_parts


class BodyReaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.memory = forwarding_parts.create_memory(100_000_000, 60_000_000)
        self.reader = body_reader.BodyReader(
            self.memory, current.CurrentTable()
        )

    async def read(self, header_fields, *chunks):
        messages = [
            asgi_caller.create_body_message(chunk, number < len(chunks))
            for number, chunk in enumerate(chunks, 1)
        ]
        caller = asgi_caller.AsgiCaller(*messages)
        with reservation.Reservation(self.memory.requests) as held:
            body = await self.reader.read(
                {"headers": header_fields}, caller.receive, held
            )
            self.assertGreater(held.size_bytes, len(body))
        return body

    async def test_bodies_are_read_whole(self):
        large = b"y" * 100_000
        for name, header_fields, chunks in (
            ("none", [], (b"",)),
            ("small", [(b"content-length", b"3")], (b"a", b"bc")),
            ("large", [(b"content-length", b"100003")], (b"abc", large)),
            ("chunked", [(b"transfer-encoding", b"chunked")], (b"a", large)),
        ):
            with self.subTest(name=name):
                body = await self.read(header_fields, *chunks)
                self.assertEqual(body, b"".join(chunks))
                self.assertEqual(self.memory.taken_bytes, 0)

    async def test_stated_length_above_the_limit_is_rejected_unread(self):
        with self.assertRaises(errors.BodyTooLargeError):
            await self.read([(b"content-length", b"5000000")], b"", b"x")

    async def test_requests_are_refused_when_nothing_is_left(self):
        self.memory.requests.force(self.memory.requests.capacity_bytes)
        for header_fields in ([], [(b"content-length", b"100000")]):
            with self.assertRaises(errors.MemoryShortError) as caught:
                await self.read(header_fields, b"")
            self.assertIsNotNone(caught.exception.retry_after_s)

    async def test_caller_that_has_gone_gives_back_its_memory(self):
        caller = asgi_caller.AsgiCaller({"type": "http.disconnect"})
        with (
            self.assertRaises(body_reader.CallerDisconnectedError),
            reservation.Reservation(self.memory.requests) as held,
        ):
            await self.reader.read({"headers": []}, caller.receive, held)
        self.assertEqual(self.memory.taken_bytes, 0)
