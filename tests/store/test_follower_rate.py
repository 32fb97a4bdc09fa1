"""Tests of the rate limit of bronzeslip.store.follower in virtual time."""

import asyncio
import contextlib
import unittest

from bench import virtual_loop
from bronzeslip import ids
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.store import rate_limiter

_CHANGES_PER_S = 20
_DURATION_S = 60.0


class _ChangingStore:
    """Fake store whose objects change at a constant rate."""

    def __init__(self):
        self.calls = 0

    @property
    def version(self):
        now_s = asyncio.get_running_loop().time()
        return ids.ObjectVersion(int(now_s * _CHANGES_PER_S))

    async def list_objects(self, prefix):
        self.calls += 1
        return objects.ObjectList(self.version, ())

    async def watch(self, prefix, after, wait_s):
        self.calls += 1
        if self.version <= after:
            await asyncio.sleep(1 / _CHANGES_PER_S)
        return objects.WatchBatch(
            self.version,
            tuple(
                objects.ObjectEvent(
                    objects.EventKind.PUT, ids.ObjectKey("k/a"), number
                )
                for number in range(after + 1, self.version + 1)
            ),
        )


async def _follow(rate_limit):
    """Runs a follower; returns the number of calls and the versions seen."""
    store = _ChangingStore()
    versions = []

    async def on_list(listing):
        versions.append(listing.version)

    async def on_event(event):
        versions.append(event.version)

    prefix_follower = follower.PrefixFollower(
        store,
        "k/",
        on_list,
        on_event,
        timing=follower.FollowTiming(rate_limit=rate_limit),
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_DURATION_S):
            await prefix_follower.run()
    return store.calls, versions


class FollowerRateTest(unittest.TestCase):
    def test_calls_are_bounded_and_no_change_is_missed(self):
        calls, versions = virtual_loop.run(
            _follow(rate_limiter.RateLimit(calls_per_s=1.0, burst_calls=4.0))
        )
        self.assertLessEqual(calls, _DURATION_S + 5)
        self.assertEqual(versions, list(range(versions[-1] + 1)))
        self.assertGreater(versions[-1], (_DURATION_S - 2) * _CHANGES_PER_S)

    def test_without_a_rate_limit_each_change_may_cause_a_call(self):
        calls, _ = virtual_loop.run(_follow(None))
        self.assertGreater(calls, _DURATION_S * _CHANGES_PER_S / 2)

    def test_interrupted_watch_lists_again_without_waiting(self):
        self.assertEqual(virtual_loop.run(_interrupt_silent_watch()), 2)


class _SilentStore(_ChangingStore):
    """Fake store whose watches are never answered."""

    async def watch(self, prefix, after, wait_s):
        await asyncio.get_running_loop().create_future()


async def _interrupt_silent_watch():
    """Returns how often the objects were listed within a second."""
    store = _SilentStore()

    async def ignore(_):
        pass

    prefix_follower = follower.PrefixFollower(store, "k/", ignore, ignore)
    task = asyncio.create_task(prefix_follower.run())
    await asyncio.sleep(0.5)
    prefix_follower.interrupt()
    await asyncio.sleep(0.5)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return store.calls
