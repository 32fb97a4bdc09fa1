"""Tests of bronzeslip.http.bounded_transport."""

import asyncio
import socket
import ssl
import time
import unittest
from unittest import mock

import httpx

from bronzeslip.http import bounded_transport

_MAX_HEAD_BYTES = 1024


class BoundedTransportTest(unittest.TestCase):
    # Guards against the cost of a TLS context for each plain connection.
    def test_transports_share_one_unused_tls_context(self):
        with mock.patch.object(
            ssl, "SSLContext", wraps=ssl.SSLContext
        ) as created:
            for _ in range(10):
                bounded_transport.BoundedTransport(_MAX_HEAD_BYTES, 1)
        self.assertLessEqual(created.call_count, 1)


class ConnectTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def connect(self, port, timeout_s):
        transport = bounded_transport.BoundedTransport(_MAX_HEAD_BYTES, 1)
        request = httpx.Request(
            "GET",
            f"http://127.0.0.1:{port}/",
            extensions={"timeout": {"connect": timeout_s}},
        )
        try:
            response = await transport.handle_async_request(request)
            await response.aread()
            return response
        finally:
            await transport.aclose()

    # Guards against taking an endpoint for unreachable, and its request for not
    # run, because this process was busy while it connected.
    async def test_long_turns_of_the_event_loop_do_not_count(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            writer.close()

        def block():
            nonlocal handle
            time.sleep(0.03)
            handle = asyncio.get_running_loop().call_soon(block)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        handle = asyncio.get_running_loop().call_soon(block)
        response = await self.connect(port, 0.04)
        handle.cancel()
        self.assertEqual(response.status_code, httpx.codes.NO_CONTENT)

    async def test_peer_that_does_not_accept_times_out(self):
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            port = listening.getsockname()[1]
            # The backlog is full once these are connected.
            waiting = [socket.socket() for _ in range(4)]
            for connection in waiting:
                self.addCleanup(connection.close)
                connection.setblocking(False)
                connection.connect_ex(("127.0.0.1", port))
            await asyncio.sleep(0.05)
            started_s = time.monotonic()
            with self.assertRaises(httpx.ConnectTimeout):
                await self.connect(port, 0.1)
            self.assertLess(time.monotonic() - started_s, 1.0)


if __name__ == "__main__":
    unittest.main()
