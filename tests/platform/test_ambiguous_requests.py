"""Tests of requests that state their id or host twice, over loopback."""

import unittest

from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import loopback_gateway
from tests.support import raw_server

_RESPONSE = raw_server.create_response(
    b"own", headers=b"Bronzeslip-Attempt-Id: q1\r\n"
)


class AmbiguousRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def _receive(self, request):
        self.gateway = loopback_gateway.LoopbackGateway(_RESPONSE)
        await self.gateway.start(
            forwarding_parts.create_route(kind.RequestKind.AT_MOST_ONCE)
        )
        self.addAsyncCleanup(self.gateway.stop)
        return await self.gateway.exchange(request)

    # Guards against 502 for a request that has run, as its response names only
    # one of its ids.
    async def test_request_with_two_ids_is_not_sent(self):
        received = await self._receive(
            loopback_gateway.create_request(
                fields=b"Bronzeslip-Attempt-Id: q2\r\n"
            )
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)
        self.assertEqual(self.gateway.endpoint.requests, [])

    # Guards against blaming an endpoint for a request that was never sent.
    async def test_request_with_two_hosts_is_not_counted_as_lost(self):
        received = await self._receive(
            loopback_gateway.create_request(fields=b"Host: h.example\r\n")
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)


if __name__ == "__main__":
    unittest.main()
