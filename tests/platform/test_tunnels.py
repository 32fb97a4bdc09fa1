"""Tests of requests that ask for a tunnel, over loopback."""

import unittest

from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import loopback_gateway
from tests.support import raw_server


class TunnelTest(unittest.IsolatedAsyncioTestCase):
    # Guards against sending a request whose response has no end.
    async def test_request_for_a_tunnel_is_not_sent(self):
        gateway = loopback_gateway.LoopbackGateway(
            raw_server.create_response(
                b"own", headers=b"Bronzeslip-Attempt-Id: q1\r\n"
            )
        )
        await gateway.start(
            forwarding_parts.create_route(kind.RequestKind.AT_MOST_ONCE)
        )
        self.addAsyncCleanup(gateway.stop)
        received = await gateway.exchange(
            loopback_gateway.create_request(method=b"CONNECT")
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)
        self.assertEqual(gateway.endpoint.requests, [])


if __name__ == "__main__":
    unittest.main()
