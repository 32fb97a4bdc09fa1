"""Tests of peer connections over loopback."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.transport import codec
from bronzeslip.transport import connection
from bronzeslip.transport import server
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import link
from tests.support import gateway_app

_KEY = "key"
_TOKENS = frames.Tokens(ids.GenerationId("g"), 0, ["a"])


class PeerConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sessions = asyncio.Queue()
        self.server = server.PeerServer("127.0.0.1", 0, _KEY, self.handle)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def handle(self, peer):
        session_end = asyncio.get_running_loop().create_future()
        await self.sessions.put((peer, session_end))
        await session_end

    async def connect(self, on_frame, silence_timeout_s=60):
        settings = gateway_app.create_settings(
            peer_key=_KEY,
            heartbeat_interval_s=0.05,
            peer_silence_timeout_s=silence_timeout_s,
        )
        closed = asyncio.Event()
        peer_connection = connection.PeerConnection(
            f"127.0.0.1:{self.server.port}", settings, on_frame, closed.set
        )
        self.addAsyncCleanup(peer_connection.close)
        peer, session_end = await self.sessions.get()
        return peer_connection, closed, peer, session_end

    async def assert_ends_cleanly(self, closed, peer_connection):
        """Checks that a connection ended without raising an exception."""
        await closed.wait()
        await peer_connection.close()
        self.assertTrue(peer_connection.closed)

    async def test_bad_frame_ends_only_its_connection(self):
        first, closed, peer, _ = await self.connect(lambda frame: None)
        received = asyncio.Queue()
        second, second_closed, other, _ = await self.connect(
            received.put_nowait
        )
        await peer._context.write(b"\xc1")
        await self.assert_ends_cleanly(closed, first)
        await other.write([_TOKENS])
        self.assertEqual(await received.get(), _TOKENS)
        self.assertFalse(second_closed.is_set())
        self.assertFalse(second.closed)

    async def test_unencodable_frame_ends_connection(self):
        peer_connection, closed, _, _ = await self.connect(lambda frame: None)
        peer_connection.send(
            frames.Tokens(ids.GenerationId("g"), 0, [object()])
        )
        await self.assert_ends_cleanly(closed, peer_connection)

    async def test_failing_receiver_ends_connection(self):
        def fail(frame):
            raise KeyError(frame)

        peer_connection, closed, peer, _ = await self.connect(fail)
        await peer.write([_TOKENS])
        await self.assert_ends_cleanly(closed, peer_connection)

    async def test_failing_handler_ends_only_its_connection(self):
        first, closed, _, session_end = await self.connect(lambda frame: None)
        second, _, other, _ = await self.connect(lambda frame: None)
        session_end.set_exception(KeyError("handler"))
        await self.assert_ends_cleanly(closed, first)
        await other.write([link.Heartbeat(ids.IncarnationId("i"))])
        self.assertFalse(second.closed)

    async def test_silence_ends_connection(self):
        peer_connection, closed, peer, _ = await self.connect(
            lambda frame: None, silence_timeout_s=0.2
        )
        await peer.write([link.Heartbeat(ids.IncarnationId("i"))])
        await self.assert_ends_cleanly(closed, peer_connection)

    def test_frame_tags_are_unique(self):
        tags = [kind.__struct_config__.tag for kind in codec.Frame.__args__]
        self.assertEqual(len(tags), len(set(tags)))
