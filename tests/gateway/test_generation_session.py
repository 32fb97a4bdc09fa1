"""Tests of the generation of one request with several sidecars."""

import asyncio
from unittest import mock

from bronzeslip import ids
from bronzeslip.gateway import crash_history
from bronzeslip.gateway import errors
from bronzeslip.gateway import peer_pool
from bronzeslip.gateway import resume_token
from bronzeslip.transport import errors as transport_errors
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason
from tests.gateway import fake_sidecar
from tests.gateway import generation_session_case


class GenerationSessionTest(generation_session_case.GenerationSessionCase):
    async def test_request_is_refused_after_its_second_crash(self):
        timeout_patch = mock.patch.object(
            crash_history, "_PUBLISH_TIMEOUT_S", 0
        )
        with timeout_patch:
            running = asyncio.create_task(
                self.start_and_collect(self.session())
            )
            for crash_id in ("c1", "c2"):
                connection, _, generation_id = await self.accept_next("a")
                await self.send_lost(connection, generation_id, crash_id)
            with self.assertRaises(errors.QuarantinedError):
                await running

    async def test_request_is_cleared_of_a_crash_by_completing(self):
        with mock.patch.object(crash_history, "_PUBLISH_TIMEOUT_S", 0):
            running = asyncio.create_task(
                self.start_and_collect(self.session())
            )
            connection, _, generation_id = await self.accept_next("a")
            await self.send_lost(connection, generation_id, "c1")
            connection, _, generation_id = await self.accept_next("b")
            self.assertEqual(self.suspects.crashes_of("f"), {"c1"})
            await self.send_finished(connection, generation_id, 1)
            self.assertEqual(await running, ["b"])
        self.assertEqual(self.suspects.crashes_of("f"), set())

    async def test_lost_generation_is_rerun_on_another_endpoint(self):
        running = asyncio.create_task(self.start_and_collect(self.session()))
        connection, first, first_id = await self.accept_next("a", "b")
        await self.send_lost(connection, first_id)
        connection, second, second_id = await self.accept_next("c")
        await self.send_finished(connection, second_id, 1)
        self.assertEqual(await running, ["c"])
        self.assertNotEqual(first, second)
        self.assertNotEqual(first_id, second_id)

    async def test_lost_generation_is_incomplete_if_not_idempotent(self):
        running = asyncio.create_task(
            self.start_and_collect(self.session(idempotent=False))
        )
        connection, _, generation_id = await self.accept_next("a")
        await self.send_lost(connection, generation_id)
        with self.assertRaises(errors.IncompleteResponseError):
            await running

    async def test_stream_is_incomplete_once_a_token_was_delivered(self):
        texts = []
        running = asyncio.create_task(
            self.start_and_stream(self.session(), texts)
        )
        connection, _, generation_id = await self.accept_next("a")
        await self.send_lost(connection, generation_id)
        with self.assertRaises(errors.IncompleteResponseError):
            await running
        self.assertEqual(texts, ["a"])

    async def test_stream_is_rerun_before_its_first_token(self):
        texts = []
        running = asyncio.create_task(
            self.start_and_stream(self.session(), texts)
        )
        connection, _, first_id = await self.next_start()
        await connection.send(frames.GenerationAccepted(first_id))
        await self.send_lost(connection, first_id)
        connection, _, second_id = await self.accept_next("b")
        await self.send_finished(connection, second_id, 1)
        await running
        self.assertEqual(texts, ["b"])

    async def test_refused_everywhere_is_not_run(self):
        running = asyncio.create_task(self.session().start())
        await self.refuse_next()
        await self.refuse_next()
        with self.assertRaises(errors.NotRunError) as caught:
            await running
        self.assertEqual(
            caught.exception.retry_after_s,
            generation_session_case.RETRY_AFTER_S,
        )

    async def test_refusal_after_a_lost_run_is_not_reported_as_not_run(self):
        running = asyncio.create_task(self.start_and_collect(self.session()))
        connection, _, generation_id = await self.accept_next("a")
        await self.send_lost(connection, generation_id)
        await self.refuse_next()
        with self.assertRaises(errors.IncompleteResponseError):
            await running

    async def test_unresolved_dispatch_is_not_reported_as_not_run(self):
        session = self.session(idempotent=False, resume_timeout_s=0.1)
        running = asyncio.create_task(session.start())
        _, name, _ = await self.next_start()
        await self.sidecars[name].stop()
        with self.assertRaises(errors.OutcomeUnknownError):
            await running

    async def test_unresolved_dispatch_is_retried_if_idempotent(self):
        session = self.session(peer_silence_timeout_s=1.0)
        running = asyncio.create_task(self.start_and_collect(session))
        _, first, _ = await self.next_start()
        await self.sidecars.pop(first).stop()
        connection, _, generation_id = await self.accept_next("a")
        await self.send_finished(connection, generation_id, 1)
        self.assertEqual(await running, ["a"])

    async def test_resumes_from_a_token(self):
        token = resume_token.ResumeToken(
            resume_token.ResumableRun(
                ids.EndpointId("e2"),
                ids.GenerationId("g"),
                ids.RequestId("r"),
            ),
            3,
        )
        session = self.session()
        starting = asyncio.create_task(session.resume(token))
        connection = await self.sidecars["e2"].accept()
        resume_frame = await connection.get(frames.ResumeGeneration)
        self.assertEqual(
            (resume_frame.generation_id, resume_frame.next_index), ("g", 3)
        )
        await connection.send(
            frames.GenerationAccepted(token.run.generation_id),
            frames.Tokens(token.run.generation_id, 3, ["d"]),
        )
        await starting
        await self.send_finished(connection, token.run.generation_id, 4)
        texts = [batch.texts async for batch in session.token_batches()]
        self.assertEqual(texts, [["d"]])

    async def test_resuming_an_unknown_generation_fails(self):
        token = resume_token.ResumeToken(
            resume_token.ResumableRun(
                ids.EndpointId("e1"),
                ids.GenerationId("g"),
                ids.RequestId("r"),
            ),
            3,
        )
        starting = asyncio.create_task(self.session().resume(token))
        connection = await self.sidecars["e1"].accept()
        await connection.send(
            frames.GenerationRefused(
                token.run.generation_id,
                reason.RefusalReason.UNKNOWN_GENERATION,
                1.0,
            )
        )
        with self.assertRaises(errors.GenerationGoneError):
            await starting

    async def test_unreachable_sidecar_is_tried_last(self):
        settings = fake_sidecar.settings(peer_silence_timeout_s=0.2)
        pool = peer_pool.PeerPool(settings)
        self.addAsyncCleanup(pool.close)
        stopped = self.sidecars.pop("e1")
        await stopped.stop()
        peer = pool.get(stopped.member.address)
        with self.assertRaises(transport_errors.ConnectionLostError):
            await peer.open_inbox("run").get()
        for _ in range(8):
            session = self.session(pool=pool)
            starting = asyncio.create_task(session.start())
            connection, _, generation_id = await self.next_start()
            await connection.send(frames.GenerationAccepted(generation_id))
            await starting
            self.assertEqual(session.endpoint_id, "e2")
            session.close()
            pool.abort(self.sidecars["e2"].member.address)

    async def test_deadline_ends_the_wait(self):
        session = self.session(deadline_s=0.1)
        running = asyncio.create_task(session.start())
        await self.next_start()
        with self.assertRaises(errors.OutcomeUnknownError):
            await running
