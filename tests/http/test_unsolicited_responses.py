"""Tests that a connection on which no request waits gets no response."""

import asyncio
import socket
import unittest

from bronzeslip.http import connection_slots
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import polling

_BODY = 5_000 * b"x"
_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
_HELD_BYTES = 3_000
_BUFFER_BYTES = 8_192


class _CountingApp:
    """Counts the requests whose responses are complete."""

    def __init__(self):
        self.served_count = 0

    async def __call__(self, scope, receive, send):
        length = (b"content-length", b"%d" % len(_BODY))
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": [length]})
        await send({"type": "http.response.body", "body": _BODY})
        self.served_count += 1


class UnsolicitedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.slots = connection_slots.ConnectionSlots(
            10, None, connection_slots.CONNECTION_BYTES + _HELD_BYTES
        )
        self.app = _CountingApp()
        http_server = server.HttpServer(
            self.app, http.HttpSettings(), slots=self.slots
        )
        http_server.start()
        self.addAsyncCleanup(http_server.abort)
        self.caller = socket.socket()
        self.addCleanup(self.caller.close)
        self.caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self.caller.setblocking(False)
        await self.loop.sock_connect(
            self.caller, ("127.0.0.1", http_server.port)
        )

    async def _send_until_closed(self):
        """Returns the number of requests sent without reading."""
        self.sent_count = 0
        while not self.slots.closed_counts:
            self.sent_count += 1
            await self.loop.sock_sendall(self.caller, _REQUEST)
            await polling.wait_until(self._is_served)
        return self.sent_count

    def _is_served(self):
        return self.app.served_count == self.sent_count

    async def _receive_all(self):
        received = b""
        async with asyncio.timeout(10):
            while chunk := await self.loop.sock_recv(self.caller, 65_536):
                received += chunk
        return received

    # Guards against a refusal after a complete response, which the caller
    # would take for the response to its next request.
    async def test_connection_that_holds_too_much_is_closed_silently(self):
        request_count = await self._send_until_closed()
        received = await self._receive_all()
        self.assertEqual(self.slots.closed_counts, {"memory-short": 1})
        self.assertEqual(received.count(b"HTTP/1.1 200 "), request_count)
        self.assertEqual(received.count(b"HTTP/1.1 "), request_count)


if __name__ == "__main__":
    unittest.main()
