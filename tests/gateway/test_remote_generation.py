"""Tests of a generation received over connections that fail."""

import asyncio
import time
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import remote_generation
from bronzeslip.generation import errors
from bronzeslip.membership import directory
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason
from tests.gateway import fake_sidecar
from tests.support import generation_frames

_ID = generation_frames.GENERATION_ID
_WORKSPACE = generation_frames.WORKSPACE_ID
_ACCEPTED = frames.GenerationAccepted(_ID)
_LONG_S = 60.0


def tokens(first_index, end_index):
    texts = [str(index) for index in range(first_index, end_index)]
    return frames.Tokens(_ID, first_index, texts)


def finished(count):
    return frames.GenerationFinished(_ID, count, reason.FinishReason.STOP, 1)


class RemoteGenerationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sidecar = fake_sidecar.FakeSidecar()
        await self.sidecar.start()
        self.addAsyncCleanup(self.sidecar.stop)
        self.members = directory.MemberDirectory()
        self.members.put(self.sidecar.member)

    def remote(self, next_index=0, **changes):
        settings = fake_sidecar.settings(**changes)
        self.pool = peer_pool.PeerPool(settings)
        self.addAsyncCleanup(self.pool.close)
        return remote_generation.RemoteGeneration(
            settings,
            self.pool,
            self.members,
            self.sidecar.member,
            _ID,
            _WORKSPACE,
            time.monotonic() + _LONG_S,
            next_index,
        )

    async def started(self, **changes):
        remote = self.remote(**changes)
        remote.begin(generation_frames.create_start_frame, _LONG_S)
        connection = await self.sidecar.accept()
        await connection.get(frames.StartGeneration)
        await connection.send(_ACCEPTED)
        await remote.wait_accepted()
        return remote, connection

    async def texts(self, remote):
        texts = []
        while True:
            frame = await remote.receive()
            if isinstance(frame, frames.GenerationFinished):
                return texts
            texts.extend(frame.texts)

    async def expect_resume(self, next_index):
        connection = await self.sidecar.accept()
        resumed = await connection.get(frames.ResumeGeneration)
        self.assertEqual(resumed.generation_id, _ID)
        self.assertEqual(resumed.workspace_id, _WORKSPACE)
        self.assertEqual(resumed.next_index, next_index)
        return connection

    async def test_drops_duplicates(self):
        remote, connection = await self.started()
        await connection.send(
            tokens(0, 2), tokens(0, 2), tokens(1, 4), finished(4)
        )
        self.assertEqual(await self.texts(remote), list("0123"))

    async def test_gap_resumes_on_new_connection(self):
        remote, connection = await self.started()
        await connection.send(tokens(0, 2), tokens(3, 5))
        self.assertEqual(await remote.receive(), tokens(0, 2))
        rest = asyncio.create_task(self.texts(remote))
        other = await self.expect_resume(2)
        await other.send(tokens(2, 5), finished(5))
        self.assertEqual(await rest, list("234"))

    async def test_early_end_resumes(self):
        remote, connection = await self.started()
        await connection.send(tokens(0, 2), finished(5))
        self.assertEqual(await remote.receive(), tokens(0, 2))
        rest = asyncio.create_task(self.texts(remote))
        other = await self.expect_resume(2)
        await other.send(tokens(2, 5), finished(5))
        self.assertEqual(await rest, list("234"))

    async def test_lost_connection_resumes_at_offset(self):
        remote, connection = await self.started()
        await connection.send(tokens(0, 3))
        await remote.receive()
        connection.close()
        rest = asyncio.create_task(self.texts(remote))
        other = await self.expect_resume(3)
        await other.send(tokens(3, 4), finished(4))
        self.assertEqual(await rest, ["3"])

    async def test_silent_connection_resumes(self):
        remote, connection = await self.started(peer_silence_timeout_s=0.3)
        await connection.send(tokens(0, 1))
        await remote.receive()
        rest = asyncio.create_task(self.texts(remote))
        other = await self.expect_resume(1)
        await other.send(finished(1))
        self.assertEqual(await rest, [])

    async def test_lost_dispatch_is_resent_with_same_id(self):
        remote = self.remote()
        remote.begin(generation_frames.create_start_frame, _LONG_S)
        connection = await self.sidecar.accept()
        await connection.get(frames.StartGeneration)
        connection.close()
        accepted = asyncio.create_task(remote.wait_accepted())
        other = await self.sidecar.accept()
        again = await other.get(frames.StartGeneration)
        self.assertEqual(again.generation_id, _ID)
        self.assertEqual(
            again.incarnation_id, self.sidecar.member.incarnation_id
        )
        await other.send(_ACCEPTED)
        await accepted

    async def test_unknown_generation_is_lost(self):
        remote, connection = await self.started()
        connection.close()
        rest = asyncio.create_task(self.texts(remote))
        other = await self.expect_resume(0)
        await other.send(
            frames.GenerationRefused(
                _ID, reason.RefusalReason.UNKNOWN_GENERATION, 1.0
            )
        )
        with self.assertRaises(errors.GenerationLostError):
            await rest

    async def test_generation_of_replaced_sidecar_is_lost(self):
        remote, connection = await self.started()
        replaced = msgspec.structs.replace(
            self.sidecar.member, incarnation_id=ids.IncarnationId("second")
        )
        self.members.put(replaced)
        connection.close()
        with self.assertRaises(errors.GenerationLostError):
            await remote.receive()

    async def test_fails_if_sidecar_stays_unreachable(self):
        remote, _ = await self.started(resume_timeout_s=0.1)
        await self.sidecar.stop()
        with self.assertRaises(errors.SidecarUnavailableError):
            await remote.receive()

    async def test_refusal_is_raised(self):
        remote = self.remote()
        remote.begin(generation_frames.create_start_frame, _LONG_S)
        connection = await self.sidecar.accept()
        await connection.send(
            frames.GenerationRefused(_ID, reason.RefusalReason.QUEUE_FULL, 7.0)
        )
        with self.assertRaises(errors.GenerationRefusedError) as caught:
            await remote.wait_accepted()
        self.assertEqual(caught.exception.retry_after_s, 7.0)

    async def test_frames_of_another_id_are_dropped_and_cancelled(self):
        remote, connection = await self.started()
        other_id = ids.GenerationId("other")
        await connection.send(
            frames.Tokens(other_id, 0, ["x"]), tokens(0, 1), finished(1)
        )
        cancelled = await connection.get(frames.CancelGeneration)
        self.assertEqual(cancelled.generation_id, other_id)
        self.assertEqual(await self.texts(remote), ["0"])
