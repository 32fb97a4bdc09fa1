"""Tests of applying the frames of a relay to a hub."""

import unittest

from bronzeslip.spread import change
from bronzeslip.spread import hub
from bronzeslip.spread import hub_feed
from bronzeslip.spread import packing
from bronzeslip.store import objects
from bronzeslip.transport import errors
from bronzeslip.transport.frames import spread as frames

PREFIX = "members/"


def delta(base, version):
    event = objects.ObjectEvent(
        objects.EventKind.PUT, f"{PREFIX}{version}", version, b"1"
    )
    packed = packing.EventPacker().pack(
        PREFIX, change.Delta(base, version, (event,))
    )
    return frames.PrefixDelta(PREFIX, base, version, 0.0, packed)


class HubFeedTest(unittest.TestCase):
    def setUp(self):
        self.hub = hub.PrefixHub((PREFIX,))
        self.state = self.hub.state(PREFIX)
        self.sent = []
        self.feed = hub_feed.HubFeed(self.hub, self.sent.append)
        self.feed.start()

    def snapshot(self, version):
        listed = packing.pack_list(objects.ObjectList(version, ()))
        return frames.PrefixSnapshot(PREFIX, version, 0.0, listed)

    def heartbeat(self, base, version):
        position = frames.PrefixPosition(PREFIX, base, version)
        return frames.RelayHeartbeat(0.0, (position,))

    def test_requests_resume_from_the_current_version(self):
        self.feed.apply(self.snapshot(5))
        self.feed.start()
        self.assertEqual(
            self.sent,
            [frames.FollowPrefix(PREFIX, -1), frames.FollowPrefix(PREFIX, 5)],
        )

    def test_next_delta_reveals_a_lost_frame(self):
        self.feed.apply(self.snapshot(5))
        self.feed.apply(delta(6, 7))
        self.assertEqual(self.state.version, 5)
        self.assertEqual(self.sent[1:], [frames.FollowPrefix(PREFIX, 5)])

    def test_next_heartbeat_reveals_a_lost_frame(self):
        self.feed.apply(self.snapshot(5))
        self.feed.apply(self.heartbeat(6, 6))
        self.assertEqual(self.state.version, 5)
        self.assertEqual(self.sent[1:], [frames.FollowPrefix(PREFIX, 5)])

    def test_heartbeat_confirms_and_advances(self):
        self.feed.apply(self.heartbeat(-1, 4))
        self.assertFalse(self.state.synced)
        self.feed.apply(self.snapshot(5))
        self.feed.apply(self.heartbeat(5, 9))
        self.assertEqual(self.state.version, 9)
        self.assertLess(self.state.age_s(), 60.0)

    def test_unreadable_content_raises_bad_frame_error(self):
        frame = frames.PrefixDelta(PREFIX, 1, 2, 0.0, b"not compressed")
        with self.assertRaises(errors.BadFrameError):
            self.feed.apply(frame)


if __name__ == "__main__":
    unittest.main()
