"""Frames of a relay applied to a hub."""

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
        self.hub = hub.SpreadHub((PREFIX,))
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

    def test_asks_from_what_it_has(self):
        self.feed.take(self.snapshot(5))
        self.feed.start()
        self.assertEqual(
            self.sent,
            [frames.FollowPrefix(PREFIX, -1), frames.FollowPrefix(PREFIX, 5)],
        )

    def test_lost_frame_is_noticed_by_the_next_delta(self):
        self.feed.take(self.snapshot(5))
        self.feed.take(delta(6, 7))
        self.assertEqual(self.state.version, 5)
        self.assertEqual(self.sent[1:], [frames.FollowPrefix(PREFIX, 5)])

    def test_lost_frame_is_noticed_by_the_next_heartbeat(self):
        self.feed.take(self.snapshot(5))
        self.feed.take(self.heartbeat(6, 6))
        self.assertEqual(self.state.version, 5)
        self.assertEqual(self.sent[1:], [frames.FollowPrefix(PREFIX, 5)])

    def test_heartbeat_confirms_and_advances(self):
        self.feed.take(self.heartbeat(-1, 4))
        self.assertFalse(self.state.known)
        self.feed.take(self.snapshot(5))
        self.feed.take(self.heartbeat(5, 9))
        self.assertEqual(self.state.version, 9)
        self.assertLess(self.state.age_s(), 60.0)

    def test_unreadable_content_is_an_error(self):
        frame = frames.PrefixDelta(PREFIX, 1, 2, 0.0, b"not compressed")
        with self.assertRaises(errors.BadFrameError):
            self.feed.take(frame)


if __name__ == "__main__":
    unittest.main()
