"""Tests of failures in bronzeslip.store.follower in virtual time."""

import asyncio
import contextlib
import unittest

import msgspec

from bench import virtual_loop
from bronzeslip import ids
from bronzeslip.store import follower
from bronzeslip.store import objects
from tests.support import log_capture

_DURATION_S = 60.0
_BAD_KEY = ids.ObjectKey("k/bad")


def _event(name, version):
    return objects.ObjectEvent(
        objects.EventKind.PUT,
        ids.ObjectKey(f"k/{name}"),
        ids.ObjectVersion(version),
        msgspec.Raw(b"1"),
    )


class _Store:
    """Fake store with one batch of changes after the first listing."""

    def __init__(self, *events):
        self.lists = 0
        self.watch_error = None
        self._events = events

    async def list_objects(self, prefix):
        self.lists += 1
        return objects.ObjectList(ids.ObjectVersion(0), ())

    async def watch(self, prefix, after, wait_s):
        if self.watch_error is not None:
            raise self.watch_error
        events, self._events = self._events, ()
        if not events:
            await asyncio.sleep(wait_s)
            return objects.WatchBatch(after, ())
        return objects.WatchBatch(events[-1].version, events)


class _Callbacks:
    """Callbacks that record their calls and may fail."""

    def __init__(self):
        self.keys = []
        self.progress = []
        self.failures = 0
        self.list_errors = []
        self.progress_error = None

    async def on_list(self, listing):
        if self.list_errors:
            raise self.list_errors.pop()

    async def on_event(self, event):
        if event.key == _BAD_KEY:
            raise RecursionError
        self.keys.append(event.key)

    def on_progress(self, version):
        self.progress.append(version)
        if self.progress_error is not None:
            raise self.progress_error

    def on_failure(self):
        self.failures += 1
        raise KeyError


async def _follow(store, callbacks):
    prefix_follower = follower.PrefixFollower(
        store,
        "k/",
        callbacks.on_list,
        callbacks.on_event,
        callbacks.on_progress,
        callbacks.on_failure,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_DURATION_S):
            await prefix_follower.run()


class FollowerFailureTest(unittest.TestCase):
    def setUp(self):
        self.callbacks = _Callbacks()

    # One change that raised an unforeseen exception ended the process.
    def test_failed_change_does_not_hide_the_others(self):
        store = _Store(_event("a", 1), _event("bad", 2), _event("b", 3))
        with log_capture.capture() as log:
            virtual_loop.run(_follow(store, self.callbacks))
        self.assertEqual(self.callbacks.keys, ["k/a", "k/b"])
        self.assertEqual(self.callbacks.progress[-1], 3)
        self.assertEqual(store.lists, 1)
        line = log.single("platform.event_failed", key=_BAD_KEY)
        self.assertIn("RecursionError", line["reason"])

    def test_failed_progress_does_not_stop_following(self):
        self.callbacks.progress_error = KeyError()
        store = _Store(_event("a", 1), _event("b", 2))
        virtual_loop.run(_follow(store, self.callbacks))
        self.assertEqual(self.callbacks.keys, ["k/a", "k/b"])
        self.assertEqual(store.lists, 1)

    def test_failed_listing_is_repeated_after_a_delay(self):
        self.callbacks.list_errors = [RecursionError(), RecursionError()]
        store = _Store(_event("a", 1))
        virtual_loop.run(_follow(store, self.callbacks))
        self.assertEqual(self.callbacks.keys, ["k/a"])
        self.assertEqual(store.lists, 3)
        self.assertEqual(self.callbacks.failures, 2)

    def test_listings_that_always_fail_are_repeated_ever_more_rarely(self):
        self.callbacks.list_errors = [RecursionError() for _ in range(1000)]
        store = _Store()
        virtual_loop.run(_follow(store, self.callbacks))
        self.assertGreater(store.lists, 10)
        self.assertLess(store.lists, 40)

    # Guards against a gap in what is known that no log line tells.
    def test_log_tells_for_how_long_changes_were_unknown(self):
        self.callbacks.list_errors = [RecursionError()]
        store = _Store(_event("a", 1))
        with log_capture.capture() as log:
            virtual_loop.run(_follow(store, self.callbacks))
        line = log.single("platform.follow_resumed", prefix="k/")
        self.assertIsNone(line["unconfirmed_s"])

    def test_watches_that_always_fail_are_repeated_ever_more_rarely(self):
        store = _Store()
        store.watch_error = RecursionError()
        virtual_loop.run(_follow(store, self.callbacks))
        self.assertGreater(store.lists, 10)
        self.assertLess(store.lists, 40)


if __name__ == "__main__":
    unittest.main()
