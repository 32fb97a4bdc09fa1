"""Tests of many clients whose data is expensive to parse."""

import asyncio
import unittest
from unittest import mock

from bronzeslip.http import connection_slots
from bronzeslip.http import read_pacer
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import polling

_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
_CHUNKS = b"1\r\nx\r\n" * 10_000
_CLIENTS = 30


class _App:
    """Reads bodies as fast as they arrive."""

    def __init__(self):
        self.read_bytes = 0

    async def __call__(self, scope, receive, send):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            self.read_bytes += len(message["body"])
            if not message["more_body"]:
                break
        await send({"type": "http.response.start", "status": 204})
        await send({"type": "http.response.body"})


class ReadPacerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a pacer that stops, and then leaves connections unread.
    async def test_all_bodies_are_read_in_the_end(self):
        app = _App()
        http_server = server.HttpServer(app, http.HttpSettings())
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        readers = []
        for number in range(_CLIENTS):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", http_server.port
            )
            self.addCleanup(writer.close)
            writer.write(_HEAD + _CHUNKS)
            if number % 3 == 0:
                # Closes in the middle, also while its turn is awaited.
                writer.close()
                continue
            writer.write(b"0\r\n\r\n")
            readers.append(reader)
        async with asyncio.timeout(30):
            for reader in readers:
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 204"), head)

    # Guards against connections that can't be closed: while they waited for
    # their turns, they kept all slots from ordinary clients.
    async def test_deferred_connections_give_way_to_new_ones(self):
        app = _App()
        slots = connection_slots.ConnectionSlots(_CLIENTS)
        http_server = server.HttpServer(app, http.HttpSettings(), slots=slots)
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        # No turn comes during the test.
        patch = mock.patch.object(read_pacer, "_PAUSE_FACTOR", 1e6)
        patch.start()
        self.addCleanup(patch.stop)
        for _ in range(_CLIENTS):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", http_server.port
            )
            self.addCleanup(writer.close)
            writer.write(_HEAD + _CHUNKS)
        await polling.wait_until(lambda: app.read_bytes >= _CLIENTS)
        await asyncio.sleep(1.5)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", http_server.port
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 204"), head)


if __name__ == "__main__":
    unittest.main()
