"""Tests of finishing the connections of a sidecar."""

import asyncio
import unittest

from bronzeslip.sidecar import peer_sessions


class FakeSession:
    def __init__(self, on_finish=None):
        self._ended = asyncio.Event()
        self._on_finish = on_finish

    async def run(self):
        await self._ended.wait()

    def finish(self):
        if self._on_finish:
            self._on_finish()
        self._ended.set()


class PeerSessionsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, sessions, session):
        task = asyncio.create_task(sessions.run(session))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        return task

    async def test_finishes_open_sessions(self):
        sessions = peer_sessions.PeerSessions()
        tasks = [await self.start(sessions, FakeSession()) for _ in range(3)]
        await sessions.finish()
        await asyncio.gather(*tasks)

    async def test_does_not_wait_for_a_session_that_opens_meanwhile(self):
        sessions = peer_sessions.PeerSessions()
        late = []

        def reconnect():
            late.append(asyncio.create_task(sessions.run(FakeSession())))

        await self.start(sessions, FakeSession(reconnect))
        await sessions.finish()
        self.assertFalse(late[0].done())
        late[0].cancel()


if __name__ == "__main__":
    unittest.main()
