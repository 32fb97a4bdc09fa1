"""Tests of delivering a generation's tokens to one connection."""

import unittest

from bronzeslip.generation import reader
from bronzeslip.generation import run
from bronzeslip.transport import outbox
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import reason
from tests.support import generation_frames


def texts(count):
    return [str(index) for index in range(count)]


class GenerationReaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.run = run.GenerationRun(generation_frames.create_start_frame())
        self.outbox = outbox.Outbox()
        self.done_count = 0

    def reader(self, next_index=0):
        return reader.GenerationReader(
            self.run, self.outbox, next_index, self.count_done
        )

    def count_done(self):
        self.done_count += 1

    def finish(self):
        count = self.run.buffer.next_index
        self.run.end(
            frames.GenerationFinished(
                self.run.start.generation_id,
                count,
                reason.FinishReason.STOP,
                1,
            )
        )

    def token_count(self, batch):
        return sum(
            len(frame.texts)
            for frame in batch
            if isinstance(frame, frames.Tokens)
        )

    async def test_stops_at_the_window_until_acknowledged(self):
        opened = self.reader()
        self.run.mark_running()
        self.run.append(0, texts(reader.WINDOW_TOKENS + 5))
        self.finish()
        batch = await self.outbox.take()
        self.assertEqual(self.token_count(batch), reader.WINDOW_TOKENS)
        self.assertEqual(self.done_count, 0)
        opened.acknowledge(reader.WINDOW_TOKENS)
        batch = await self.outbox.take()
        self.assertEqual(self.token_count(batch), 5)
        self.assertIs(batch[-1], self.run.terminal)
        self.assertEqual(self.done_count, 1)
        self.assertFalse(self.run.has_readers)

    async def test_reads_from_an_index(self):
        self.run.mark_running()
        self.run.append(0, texts(5))
        self.reader(3)
        batch = await self.outbox.take()
        self.assertEqual(batch[-1].first_index, 3)
        self.assertEqual(batch[-1].texts, ["3", "4"])

    async def test_refusal_is_not_preceded_by_acceptance(self):
        self.run.end(
            frames.GenerationRefused(
                self.run.start.generation_id,
                reason.RefusalReason.QUEUE_FULL,
                1.0,
            )
        )
        self.reader()
        self.assertEqual(await self.outbox.take(), [self.run.terminal])

    async def test_dropped_tokens_are_reported_as_unknown(self):
        self.run.mark_running()
        self.run.append(0, texts(5))
        self.run.buffer.drop_before(4)
        self.reader(2)
        batch = await self.outbox.take()
        self.assertEqual(
            batch[-1].reason, reason.RefusalReason.UNKNOWN_GENERATION
        )
        self.assertEqual(self.done_count, 1)
