"""Tests of request bodies that an application does not read, or not yet."""

import asyncio
import unittest

from bronzeslip.http import server
from bronzeslip.settings import http

_MB = 1024 * 1024
_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
_MAX_READ_AHEAD_BYTES = 64 * 1024
_TIMEOUT_S = 20.0


class _WaitingApp:
    """Reads no body until it is told to, or responds without reading."""

    def __init__(self, responds_at_once=False):
        self.may_read = asyncio.Event()
        self.responds_at_once = responds_at_once
        self.read_bytes = 0
        self.read_ahead_bytes = []

    async def __call__(self, scope, receive, send):
        if not self.responds_at_once:
            await self.may_read.wait()
            await self._read(receive)
        await send(
            {
                "type": "http.response.start",
                "status": 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})

    async def _read(self, receive):
        has_more = True
        while has_more:
            message = await receive()
            self.read_ahead_bytes.append(len(message["body"]))
            self.read_bytes += len(message["body"])
            has_more = message["more_body"]


class UnreadBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, app, **settings):
        http_server = server.HttpServer(app, http.HttpSettings(**settings))
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", http_server.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    # Guards against hundreds of bodies that are read ahead of the application
    # and held outside of the memory budget.
    async def test_bodies_are_not_read_ahead_of_the_application(self):
        app = _WaitingApp()
        reader, writer = await self.start(app)
        writer.write(_HEAD % (4 * _MB) + b"x" * (4 * _MB))
        await asyncio.sleep(0.3)
        app.may_read.set()
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(app.read_bytes, 4 * _MB)
        self.assertLessEqual(app.read_ahead_bytes[0], _MAX_READ_AHEAD_BYTES)

    async def test_refusal_reaches_a_caller_that_is_still_sending(self):
        reader, writer = await self.start(_WaitingApp(responds_at_once=True))
        async with asyncio.timeout(_TIMEOUT_S):
            for _ in range(2):
                writer.write(_HEAD % (4 * _MB))
                for _ in range(4):
                    writer.write(b"x" * _MB)
                    await writer.drain()
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)

    async def test_endless_body_of_a_refused_request_is_cut(self):
        _reader, writer = await self.start(_WaitingApp(responds_at_once=True))
        writer.write(_HEAD % (1024 * _MB))
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(_TIMEOUT_S):
                for _ in range(64):
                    writer.write(b"x" * _MB)
                    await writer.drain()

    async def test_rejection_of_headers_reaches_a_caller_still_sending(self):
        reader, writer = await self.start(_WaitingApp(), max_header_bytes=2000)
        writer.write(b"GET / HTTP/1.1\r\na: " + b"x" * 500_000)
        async with asyncio.timeout(_TIMEOUT_S):
            response = await reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 431 "), response[:40])
