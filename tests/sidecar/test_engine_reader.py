"""Tests of reading a generation from a failing engine."""

import types
import unittest

from bronzeslip.engine import errors
from bronzeslip.generation import run
from bronzeslip.sidecar import crash_tracker
from bronzeslip.sidecar import engine_reader
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason
from tests.sidecar import scripted_engine
from tests.sidecar.scripted_engine import FINISHED
from tests.sidecar.scripted_engine import HANG
from tests.sidecar.scripted_engine import tokens
from tests.support import generation_frames

_BROKEN = errors.EngineUnavailableError("broken")
_UNREACHABLE = errors.EngineUnreachableError("refused")
_SETTINGS = types.SimpleNamespace(
    engine_silence_timeout_s=0.05, engine_loss_timeout_s=0.15
)


class EngineReaderTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, *streams, probe=None):
        self.engine = scripted_engine.ScriptedEngine(*streams, probe=probe)
        current = run.GenerationRun(generation_frames.create_start_frame())
        await engine_reader.EngineReader(
            _SETTINGS, self.engine, current, crash_tracker.CrashTracker()
        ).run()
        return current

    def assert_complete(self, current, texts):
        self.assertIsInstance(current.terminal, frames.GenerationFinished)
        self.assertEqual(current.terminal.token_count, len(texts))
        self.assertEqual(current.buffer.read(0, 100), texts)

    def assert_lost(self, current, loss):
        self.assertIsInstance(current.terminal, frames.GenerationLost)
        self.assertEqual(current.terminal.reason, loss)

    def assert_refused(self, current):
        self.assertIsInstance(current.terminal, frames.GenerationRefused)

    async def test_broken_stream_is_resumed_at_offset(self):
        current = await self.read(
            [tokens(0, "a", "b"), _BROKEN], [tokens(1, "b", "c"), FINISHED]
        )
        self.assert_complete(current, ["a", "b", "c"])
        self.assertEqual(self.engine.resumed_at, [2])

    async def test_stream_without_end_is_resumed(self):
        current = await self.read([tokens(0, "a")], [FINISHED])
        self.assert_complete(current, ["a"])

    async def test_silent_stream_is_resumed(self):
        current = await self.read(
            [tokens(0, "a"), HANG], [HANG], [tokens(1, "b"), FINISHED]
        )
        self.assert_complete(current, ["a", "b"])
        self.assertEqual(self.engine.resumed_at, [1, 1])

    async def test_gap_is_resumed(self):
        current = await self.read(
            [tokens(0, "a"), tokens(2, "c")], [tokens(1, "b"), FINISHED]
        )
        self.assert_complete(current, ["a", "b"])

    async def test_generation_is_lost_at_once_if_engine_is_unreachable(self):
        current = await self.read([tokens(0, "a"), _BROKEN], probe=_UNREACHABLE)
        self.assert_lost(current, reason.LossReason.ENDPOINT_DOWN)
        self.assertEqual(self.engine.resumed_at, [])

    async def test_generation_is_lost_if_engine_restarted(self):
        current = await self.read(
            [tokens(0, "a"), _BROKEN], [errors.GenerationUnknownError("404")]
        )
        self.assert_lost(current, reason.LossReason.ENDPOINT_DOWN)

    async def test_generation_is_lost_if_engine_is_reclaimed(self):
        current = await self.read([tokens(0, "a"), _BROKEN], probe="leaving")
        self.assert_lost(current, reason.LossReason.RECLAIMED)

    async def test_generation_is_lost_if_engine_stays_silent(self):
        hanging = [[HANG] for _ in range(20)]
        current = await self.read(
            [tokens(0, "a"), HANG], *hanging, probe=_BROKEN
        )
        self.assert_lost(current, reason.LossReason.ENDPOINT_DOWN)

    # Guards against tokens without end, which would be kept until the memory is
    # exhausted and count as progress.
    async def test_tokens_beyond_the_requested_number_are_not_kept(self):
        max_tokens = generation_frames.create_start_frame().max_tokens
        excess = [tokens(max_tokens, "x")] * 2
        current = await self.read(
            [tokens(0, *["x"] * max_tokens), *excess],
            *([excess] * 20),
        )
        self.assertEqual(current.buffer.next_index, max_tokens)
        self.assert_lost(current, reason.LossReason.ENDPOINT_DOWN)

    async def test_generation_is_refused_if_engine_is_unreachable(self):
        self.assert_refused(await self.read([_UNREACHABLE]))

    async def test_generation_is_refused_if_engine_rejects_it(self):
        refusal = errors.EngineRefusedError("400")
        self.assert_refused(await self.read([refusal]))

    async def test_start_that_may_have_run_is_not_refused(self):
        current = await self.read([_BROKEN], [_UNREACHABLE])
        self.assert_lost(current, reason.LossReason.ENDPOINT_DOWN)
