"""Tests that earlier responses announce nothing once more, over loopback."""

import unittest

from bronzeslip.endpoints import directory
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import raw_server

_ANNOUNCEMENTS = (
    b"Retry-After: 30\r\nServer-Leaving: 1\r\nServer-Limit: 1\r\n"
    b"Bronzeslip-Server-Load: 8,3,8\r\n"
)


def _response(status, fields):
    return raw_server.create_response(b"", status, fields)


_FIRST = _response(b"200 OK", b"Bronzeslip-Attempt-Id: q1\r\n")
_OWN = _response(b"200 OK", b"Bronzeslip-Attempt-Id: q2\r\n")


class EarlierAnnouncementTest(unittest.IsolatedAsyncioTestCase):
    async def _send_second(self, script):
        """Sends q2 after q1 on one connection."""
        server = raw_server.RawServer(_FIRST, script)
        port = await server.start()
        self.addAsyncCleanup(server.stop)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )
        self.endpoints = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.endpoints.replace_all([self.endpoint])
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS, self.endpoints
        )
        self.addAsyncCleanup(self.client.close)
        await self._send("q1")
        await self._send("q2")

    async def _send(self, request_id):
        response = await self.client.send(
            forwarding_parts.create_dispatch(self.endpoint, request_id)
        )
        await buffered_response.read(
            response, 1000, forwarding_parts.create_response_memory()
        )

    def _assert_nothing_announced(self):
        self.assertEqual(self.endpoints.pause_remaining_s(self.endpoint), 0)
        self.assertTrue(self.endpoints.accepts_requests(self.endpoint))
        self.assertIsNone(self.endpoints.request_limits.rate_of(self.endpoint))
        self.assertIsNone(self.endpoints.load_statements.latest(self.endpoint))

    # Guards against a pause or limit that an endpoint stated at some earlier
    # time and that no longer holds.
    async def test_response_without_an_id_announces_nothing(self):
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._send_second(
                _response(b"503 Service Unavailable", _ANNOUNCEMENTS)
            )
        self._assert_nothing_announced()

    # Guards against the same by a response that names another request.
    async def test_skipped_response_announces_nothing(self):
        fields = b"Bronzeslip-Attempt-Id: q1\r\n" + _ANNOUNCEMENTS
        await self._send_second(
            _response(b"503 Service Unavailable", fields) + _OWN
        )
        self._assert_nothing_announced()


if __name__ == "__main__":
    unittest.main()
