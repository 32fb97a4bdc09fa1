"""Tests of bronzeslip.http.checked_connection, over loopback."""

import unittest

import httpcore
import httpx

from bronzeslip.http import bounded_transport
from bronzeslip.http import checked_connection
from bronzeslip.http import connection_use
from tests.support import raw_server

_MAX_HEAD_BYTES = 200_000
# More than is read from a connection at once.
_BODY = 1_000_000 * b"x"


class _StreamWithoutBodies(httpcore.AsyncMockStream):
    """Stream whose peer responds before it has read the request's body."""

    def __init__(self, reads):
        super().__init__(reads)
        self.use = connection_use.ConnectionUse()

    async def write(self, buffer, timeout=None):
        if buffer == b"body":
            raise httpcore.WriteError


class _Backend(httpcore.AsyncMockBackend):
    async def connect_tcp(self, *args, **options):
        return _StreamWithoutBodies(self._buffer)


class EarlyResponseTest(unittest.IsolatedAsyncioTestCase):
    # Guards against awaiting the response to a request that was not sent as a
    # whole, and against an error of the HTTP library in its place.
    async def test_response_to_a_part_of_a_request_is_not_awaited(self):
        responses = 2 * raw_server.create_response(b"x")
        connection = checked_connection.CheckedConnection(
            httpcore.Origin(b"http", b"h", 80),
            network_backend=_Backend([responses]),
        )
        request = httpcore.Request(
            "POST",
            "http://h/",
            headers={"Host": "h", "Content-Length": "4"},
            content=b"body",
            extensions={checked_connection.IS_FOREIGN: lambda _: True},
        )
        with self.assertRaises(httpcore.RemoteProtocolError):
            await connection.handle_async_request(request)
        self.assertTrue(connection.is_closed())


class HeadRequestTest(unittest.IsolatedAsyncioTestCase):
    # Guards against losing the response to HEAD, which needs no length, after
    # one to another request.
    async def test_response_without_a_length_is_skipped(self):
        connection = checked_connection.CheckedConnection(
            httpcore.Origin(b"http", b"h", 80),
            network_backend=_Backend(
                [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 404 Missing\r\n\r\n"]
            ),
        )
        request = httpcore.Request(
            "HEAD",
            "http://h/",
            headers={"Host": "h"},
            extensions={
                checked_connection.IS_FOREIGN: lambda head: head.status == 200
            },
        )
        response = await connection.handle_async_request(request)
        self.assertEqual(response.status, 404)
        self.assertEqual(
            response.extensions["network_stream"].use.response_count, 2
        )


class CheckedConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = raw_server.RawServer(
            raw_server.create_response(_BODY), raw_server.create_response(b"b")
        )
        self.port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.transport = bounded_transport.BoundedTransport(_MAX_HEAD_BYTES, 2)
        self.addAsyncCleanup(self.transport.aclose)

    async def _send(self):
        return await self.transport.handle_async_request(
            httpx.Request("GET", f"http://127.0.0.1:{self.port}/")
        )

    # Guards against closing a connection whose response is being read, as its
    # bytes that have been received are unread too.
    async def test_response_in_progress_outlasts_other_requests(self):
        first = await self._send()
        second = await self._send()
        self.assertEqual(await second.aread(), b"b")
        self.assertEqual(await first.aread(), _BODY)
        self.assertEqual(self.server.connection_count, 2)


if __name__ == "__main__":
    unittest.main()
