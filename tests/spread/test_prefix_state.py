"""Tests of prefix states and the updates for their followers."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bronzeslip.spread import change
from bronzeslip.spread import errors
from bronzeslip.spread import event_log
from bronzeslip.spread import prefix_state
from bronzeslip.store import objects

PREFIX = "members/"


def put(key, version):
    value = str(version).encode()
    return objects.ObjectEvent(objects.EventKind.PUT, key, version, value)


def delete(key, version):
    return objects.ObjectEvent(objects.EventKind.DELETE, key, version)


def contents(state):
    listed = state.changes_since(change.UNKNOWN_VERSION, PREFIX).listed
    return {obj.key: bytes(obj.value) for obj in listed.objects}


def synchronize(follower, source):
    """Updates a follower as a relay link does."""
    update = source.changes_since(follower.version, PREFIX)
    if isinstance(update, change.Snapshot):
        follower.replace(update.listed)
    elif isinstance(update, change.Delta):
        follower.advance(update.base, update.version, update.events)


class PrefixStateTest(unittest.TestCase):
    def setUp(self):
        self.state = prefix_state.PrefixState(PREFIX)
        self.state.replace(objects.ObjectList(5, ()))

    def test_gap_is_rejected(self):
        with self.assertRaises(errors.GapError):
            self.state.advance(6, 7, (put("members/a", 7),))
        self.assertEqual(self.state.version, 5)

    def test_late_and_duplicate_events_are_ignored(self):
        self.state.advance(5, 7, (put("members/a", 7),))
        self.state.advance(5, 6, (delete("members/a", 6),))
        self.state.replace(objects.ObjectList(6, ()))
        self.assertEqual(self.state.version, 7)
        self.assertEqual(contents(self.state), {"members/a": b"7"})

    def test_longer_prefix_gets_only_its_events(self):
        events = (put("members/gateway/a", 6), put("members/sidecar/b", 7))
        self.state.advance(5, 7, events)
        delta = self.state.changes_since(5, "members/gateway/")
        self.assertEqual(delta.version, 7)
        self.assertEqual(delta.events, events[:1])

    def test_age_grows_and_older_confirmation_is_ignored(self):
        with mock.patch.object(prefix_state.time, "monotonic") as clock:
            clock.return_value = 100.0
            self.state.confirm()
            clock.return_value = 104.0
            self.state.confirm(age_s=30.0)
            self.assertEqual(self.state.age_s(), 4.0)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["put", "delete", "list", "pull"]),
                strategies.integers(0, 4),
            ),
            max_size=60,
        )
    )
    def test_follower_converges_after_any_lag(self, steps):
        source = prefix_state.PrefixState(PREFIX)
        follower = prefix_state.PrefixState(PREFIX)
        expected = {}
        version = 1
        source.replace(objects.ObjectList(version, ()))
        with mock.patch.object(event_log, "MAX_EVENTS", 3):
            for action, index in steps:
                key = f"{PREFIX}{index}"
                if action == "pull":
                    synchronize(follower, source)
                    continue
                version += 1
                if action == "put":
                    expected[key] = version
                    source.advance(version - 1, version, (put(key, version),))
                elif action == "delete":
                    expected.pop(key, None)
                    source.advance(
                        version - 1, version, (delete(key, version),)
                    )
                else:
                    expected[key] = version
                    current = tuple(
                        objects.PlatformObject(
                            key_name, at_version, str(at_version).encode()
                        )
                        for key_name, at_version in expected.items()
                    )
                    source.replace(objects.ObjectList(version, current))
            synchronize(follower, source)
        expected_contents = {
            key_name: str(at_version).encode()
            for key_name, at_version in expected.items()
        }
        self.assertEqual(contents(source), expected_contents)
        self.assertEqual(contents(follower), expected_contents)
        self.assertEqual(follower.version, version)


if __name__ == "__main__":
    unittest.main()
