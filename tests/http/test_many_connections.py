"""Tests of a server to which more connections are opened than it can hold."""

import asyncio
import types
import unittest

from bronzeslip.http import connection_slots
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import polling

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
_TIMEOUT_S = 10.0
_MAX_COUNT = 20


class _App:
    """Responds at once, or when it is told to."""

    def __init__(self):
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.request_count = 0

    async def __call__(self, scope, receive, send):
        self.request_count += 1
        await self.may_respond.wait()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"0")],
            }
        )
        await send({"type": "http.response.body", "body": b""})


class ManyConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.app = _App()
        self.slots = connection_slots.ConnectionSlots(_MAX_COUNT)
        self.server = server.HttpServer(
            self.app, http.HttpSettings(), slots=self.slots
        )
        self.server.start()
        self.addAsyncCleanup(self.server.abort)

    async def connect(self, count=1):
        connections = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.server.port
            )
            self.addCleanup(writer.close)
            connections.append((reader, writer))
        return connections

    async def exchange(self, connection):
        reader, writer = connection
        async with asyncio.timeout(_TIMEOUT_S):
            writer.write(_REQUEST)
            return await reader.readuntil(b"\r\n\r\n")

    # Guards against a process that is killed, or has no descriptor left for its
    # endpoints, because it keeps every connection that callers open.
    async def test_idle_connections_give_way_to_new_ones(self):
        idle = await self.connect(_MAX_COUNT)
        for connection in idle:
            await self.exchange(connection)
        await asyncio.sleep(0.7)
        for connection in await self.connect(_MAX_COUNT):
            head = await self.exchange(connection)
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        async with asyncio.timeout(_TIMEOUT_S):
            for reader, _ in idle:
                self.assertEqual(await reader.read(), b"")
        self.assertLessEqual(self.slots.open_count, _MAX_COUNT)

    async def test_connections_are_refused_while_all_others_are_busy(self):
        self.app.may_respond.clear()
        busy = await self.connect(_MAX_COUNT)
        tasks = [asyncio.create_task(self.exchange(item)) for item in busy]
        await polling.wait_until(lambda: self.app.request_count == _MAX_COUNT)
        for connection in await self.connect(200):
            head = await self.exchange(connection)
            self.assertTrue(head.startswith(b"HTTP/1.1 503 "), head)
            self.assertIn(b"retry-after: ", head)
            self.assertIn(b"connection: close", head)
        self.assertEqual(self.app.request_count, _MAX_COUNT)
        self.app.may_respond.set()
        for head in await asyncio.gather(*tasks):
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)

    # Guards against closing clients that pipeline two requests and wait for the
    # second response.
    async def test_last_pipelined_request_is_served(self):
        (pipelining,) = await self.connect()
        turns = asyncio.Semaphore(1)
        self.app.may_respond = types.SimpleNamespace(wait=turns.acquire)
        pipelining[1].write(_REQUEST + _REQUEST)
        await pipelining[0].readuntil(b"\r\n\r\n")
        await polling.wait_until(lambda: self.app.request_count == 2)
        # They wait for less time than the pipelined request is served.
        await asyncio.sleep(0.7)
        others = await self.connect(_MAX_COUNT)
        await asyncio.sleep(0.1)
        turns.release()
        head = await pipelining[0].readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
        self.assertEqual(len(others), _MAX_COUNT)

    async def test_connections_are_reused_as_before(self):
        (connection,) = await self.connect()
        for _ in range(3 * _MAX_COUNT):
            await self.exchange(connection)
        self.assertEqual(self.slots.open_count, 1)
        connection[1].close()
        await polling.wait_until(lambda: not self.slots.open_count)
