"""Tests of bronzeslip.forwarding.stream_progress."""

import unittest

from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import stream_progress
from tests.support import forwarding_parts

_EVENT = b"id: 1\ndata: a\n\n"
_MANY_PIECES = 5000


class StreamProgressTest(unittest.IsolatedAsyncioTestCase):
    def _create(self):
        return stream_progress.StreamProgress(
            forwarding_parts.admit_generation(), event_max_bytes=1000
        )

    async def test_event_without_end_is_given_up_by_its_size(self):
        progress = self._create()
        with self.assertRaisesRegex(
            endpoint_errors.EndpointResponseLostError, "1000 bytes"
        ):
            progress.feed(b"x" * 1001)

    # Guards against spending a gateway's processor time on chunks that never
    # complete an event.
    async def test_event_without_end_is_given_up_by_its_pieces(self):
        progress = self._create()
        with self.assertRaisesRegex(
            endpoint_errors.EndpointResponseLostError, "pieces"
        ):
            for _ in range(_MANY_PIECES):
                progress.feed(b"")

    async def test_pieces_of_complete_events_are_not_counted(self):
        progress = self._create()
        for _ in range(_MANY_PIECES // len(_EVENT)):
            for byte in _EVENT:
                progress.feed(bytes((byte,)))


if __name__ == "__main__":
    unittest.main()
