"""Tests of bronzeslip.transport.server on a port that is taken."""

import asyncio
import socket
import unittest

from bronzeslip.transport import connection
from bronzeslip.transport import server
from tests.support import gateway_app

_MAX_CONNECTIONS = 50
_CONNECTION_S = 0.2


class TakenPortTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.holder = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.holder.close)
        self.port = self.holder.getsockname()[1]
        self.handled = asyncio.Event()

    def create_server(self):
        return server.PeerServer("127.0.0.1", self.port, "", self.handle)

    async def handle(self, peer):
        self.handled.set()

    # Guards against an error that ends the process at its start.
    async def test_accepts_peers_once_the_port_is_free(self):
        peer_server = self.create_server()
        self.addAsyncCleanup(peer_server.stop)
        await peer_server.start()
        self.assertEqual(peer_server.port, self.port)
        self.holder.close()
        settings = gateway_app.create_settings(peer_key="")
        for _ in range(_MAX_CONNECTIONS):
            peer_connection = connection.PeerConnection(
                f"127.0.0.1:{self.port}",
                settings,
                lambda frame: None,
                lambda: None,
            )
            await asyncio.sleep(_CONNECTION_S)
            await peer_connection.close()
            if self.handled.is_set():
                return
        self.fail("no peer was accepted")

    # Guards against a shutdown that waits for a port.
    async def test_stops_while_the_port_is_taken(self):
        peer_server = self.create_server()
        await peer_server.start()
        await asyncio.sleep(0)
        async with asyncio.timeout(1):
            await peer_server.stop()


if __name__ == "__main__":
    unittest.main()
