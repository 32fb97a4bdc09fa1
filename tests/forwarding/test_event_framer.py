"""Tests of bronzeslip.forwarding.event_framer."""

import time
import unittest

from bronzeslip.forwarding import event_framer

_PIECE = b"x" * 16
_ENDLESS_BYTES = 524_288
# Requests must be answered half a second after their route's timeout.
_MAX_DELAY_S = 0.5
_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class EventFramerTest(unittest.TestCase):
    def _feed_all(self, *chunks):
        framer = event_framer.EventFramer()
        blocks = [framer.feed(chunk) for chunk in chunks]
        return framer, [block for block in blocks if block is not None]

    def test_events_are_counted_wherever_the_bytes_are_split(self):
        for events in (_EVENTS, _EVENTS.replace(b"\n", b"\r\n")):
            for split in range(1, len(events)):
                with self.subTest(events=events, split=split):
                    framer, blocks = self._feed_all(
                        events[:split], events[split:]
                    )
                    self.assertEqual(sum(block.count for block in blocks), 2)
                    self.assertEqual(blocks[-1].last_event_id, "2")
                    self.assertEqual(framer.remainder, b"")

    # Guards against holding back events whose lines end with CR LF until the
    # stream ends.
    def test_event_with_carriage_returns_is_complete_at_its_blank_line(self):
        _, (block,) = self._feed_all(b"id: 1\r\ndata: a\r\n\r\n")
        self.assertEqual(block.data, b"id: 1\r\ndata: a\r\n\r\n")
        self.assertEqual(block.last_event_id, "1")

    def test_bytes_after_the_last_event_remain(self):
        framer, (block,) = self._feed_all(b"id: 1\n\nid: 2\r\n")
        self.assertEqual(block.data, b"id: 1\n\n")
        self.assertEqual(framer.remainder, b"id: 2\r\n")

    # Guards against a gateway that serves nobody while one engine sends an
    # event without end in small chunks.
    def test_event_without_end_takes_time_in_proportion_to_its_size(self):
        framer = event_framer.EventFramer()
        started_s = time.monotonic()
        for _ in range(_ENDLESS_BYTES // len(_PIECE)):
            self.assertIsNone(framer.feed(_PIECE))
            self.assertLess(time.monotonic() - started_s, _MAX_DELAY_S)
        self.assertEqual(framer.remainder_bytes, _ENDLESS_BYTES)

    def test_event_is_complete_wherever_a_third_chunk_begins(self):
        events = _EVENTS.replace(b"\n", b"\r\n")
        for first in range(1, len(events)):
            for second in range(first, len(events)):
                _, blocks = self._feed_all(
                    events[:first], events[first:second], events[second:]
                )
                self.assertEqual(
                    b"".join(block.data for block in blocks), events
                )


if __name__ == "__main__":
    unittest.main()
