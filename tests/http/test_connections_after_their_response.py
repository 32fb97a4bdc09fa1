"""Tests of what a connection keeps once its response is complete."""

import asyncio
import gc
import socket
import struct
import unittest
import weakref

from bronzeslip.http import connection_limits
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import polling

_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\n"
_TIMEOUT_S = 10.0
_LARGE_BYTES = 100_000


class _RefusingApp:
    """Responds after one part of a body, or none, without the others."""

    def __init__(self):
        self.may_read = asyncio.Event()
        self.may_read.set()
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def __call__(self, scope, receive, send):
        if self.may_read.is_set():
            await receive()
        await self.may_respond.wait()
        await send(
            {
                "type": "http.response.start",
                "status": 503,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})


class ConnectionsAfterTheirResponseTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, idle_timeout_s):
        limits = connection_limits.ConnectionLimits(8000, 5.0, idle_timeout_s)
        self.app = _RefusingApp()
        self.server = server.HttpServer(
            self.app, http.HttpSettings(), lambda: limits
        )
        self.server.start()
        self.addAsyncCleanup(self.server.abort)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(self.writer.close)

    async def read_response(self):
        async with asyncio.timeout(_TIMEOUT_S):
            return await self.reader.readuntil(b"\r\n\r\n")

    @property
    def protocols(self):
        return self.server._server.server_state.connections

    # Guards against memory without a slot: clients that reset idle connections
    # made the process keep each of them until its idle timeout.
    async def test_reset_connection_is_not_kept(self):
        await self.start(idle_timeout_s=600.0)
        self.writer.write(_HEAD + b"content-length: 0\r\n\r\n")
        await self.read_response()
        protocol = weakref.ref(next(iter(self.protocols)))
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()
        await polling.wait_until(lambda: not self.protocols)
        await asyncio.sleep(0)
        gc.collect()
        self.assertIsNone(protocol())

    # Guards against memory without a slot: what had arrived of a body when its
    # request was refused was kept, uncounted, until the next request.
    async def test_unread_part_of_a_body_is_not_kept(self):
        await self.start(idle_timeout_s=600.0)
        self.app.may_respond.clear()
        self.writer.write(_HEAD + b"content-length: 4000000\r\n\r\n")
        await polling.wait_until(lambda: self.protocols)
        (protocol,) = self.protocols
        self.writer.write(b"x" * _LARGE_BYTES)
        await polling.wait_until(
            lambda: protocol.cycle is not None and len(protocol.cycle.body)
        )
        self.app.may_respond.set()
        await self.read_response()
        self.assertEqual(len(protocol.cycle.body), 0)

    # Guards against connections without any time limit: data after a response
    # that began no request stopped the idle timeout.
    async def test_idle_timeout_follows_data_after_the_response(self):
        for name, length, data in (
            ("rest of the body", b"4", b"rest"),
            ("part of the rest", b"4", b"re"),
            ("empty line", b"0", b"\r\n"),
        ):
            with self.subTest(name=name):
                await self.start(idle_timeout_s=0.3)
                self.app.may_read.clear()
                self.writer.write(
                    _HEAD + b"content-length: " + length + b"\r\n\r\n"
                )
                await self.read_response()
                self.writer.write(data)
                async with asyncio.timeout(_TIMEOUT_S):
                    self.assertEqual(await self.reader.read(), b"")

    # Guards against closing the connection of a client that sends the rest of
    # a refused body more slowly than the idle timeout.
    async def test_steady_rest_of_a_body_is_read(self):
        await self.start(idle_timeout_s=0.5)
        self.app.may_read.clear()
        self.writer.write(_HEAD + b"content-length: 12\r\n\r\n")
        await self.read_response()
        for _ in range(12):
            self.writer.write(b"x")
            await asyncio.sleep(0.1)
        self.writer.write(_HEAD + b"content-length: 0\r\n\r\n")
        await self.read_response()

    # Guards against a second response, which a client takes for the one to its
    # next request.
    async def test_rest_of_a_body_gets_no_response_of_its_own(self):
        await self.start(idle_timeout_s=5.0)
        self.app.may_read.clear()
        self.writer.write(_HEAD + b"transfer-encoding: chunked\r\n\r\n")
        await self.read_response()
        self.writer.write(b"1;" + b"e" * _LARGE_BYTES)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertEqual(await self.reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
