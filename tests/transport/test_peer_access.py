"""Tests of peer authentication by key and by certificate."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.transport import connection
from bronzeslip.transport import server
from bronzeslip.transport import tls
from bronzeslip.transport.frames import generation as frames
from tests.support import certificates
from tests.support import gateway_app

_FRAME = frames.GenerationAccepted(ids.GenerationId("g"))


class PeerAccessTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, **changes):
        settings = gateway_app.create_settings(**changes)
        self.accepted = 0
        self.server = server.PeerServer(
            "127.0.0.1",
            0,
            settings.peer_key,
            self.handle,
            accepted_peer_keys=settings.accepted_peer_keys,
            credentials=tls.server_credentials(settings),
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def handle(self, peer):
        self.accepted += 1
        await peer.write([_FRAME])
        await asyncio.Event().wait()

    async def is_accepted(self, **changes):
        results: asyncio.Queue[bool] = asyncio.Queue()
        settings = gateway_app.create_settings(
            heartbeat_interval_s=0.05, peer_silence_timeout_s=5.0, **changes
        )
        peer_connection = connection.PeerConnection(
            f"127.0.0.1:{self.server.port}",
            settings,
            lambda frame: results.put_nowait(True),
            lambda: results.put_nowait(False),
        )
        self.addAsyncCleanup(peer_connection.close)
        async with asyncio.timeout(15):
            return await results.get()

    async def test_right_and_wrong_key(self):
        await self.serve(peer_key="right")
        self.assertTrue(await self.is_accepted(peer_key="right"))
        for key in ("wrong", "", "right ", "righ"):
            with self.subTest(key=key):
                self.assertFalse(await self.is_accepted(peer_key=key))
        self.assertEqual(self.accepted, 1)

    async def test_several_keys_while_they_are_rotated(self):
        await self.serve(peer_key="new", accepted_peer_keys=("old",))
        self.assertTrue(await self.is_accepted(peer_key="new"))
        self.assertTrue(await self.is_accepted(peer_key="old"))
        self.assertFalse(await self.is_accepted(peer_key="older"))

    async def test_certificates(self):
        await self.serve(**certificates.peer_settings())
        self.assertTrue(await self.is_accepted(**certificates.peer_settings()))
        refused = {
            "plain": {},
            "untrusted client": certificates.peer_settings("other"),
            "untrusted server": certificates.peer_settings(ca="other"),
        }
        for name, changes in refused.items():
            with self.subTest(name=name):
                self.assertFalse(await self.is_accepted(**changes))
        self.assertEqual(self.accepted, 1)


if __name__ == "__main__":
    unittest.main()
