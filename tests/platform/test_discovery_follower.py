"""Tests of bronzeslip.platform.discovery_follower."""

import asyncio
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.platform import discovery_follower
from bronzeslip.store import errors
from bronzeslip.store import follower
from bronzeslip.store import objects
from tests.support import forwarding_parts
from tests.support import nested_json
from tests.support import polling

_ENTRY = {
    "service": "s",
    "address": "127.0.0.9:8080",
    "zone": "a-1",
    "slots": 24,
    "state": "ready",
    "born": 1700000000123,
}
_SOUND = msgspec.json.encode(_ENTRY)
_UNREADABLE = {
    "null": b"null",
    "nested": bytes(nested_json.OBJECT),
    "nested unknown field": _SOUND[:-1]
    + b',"x":%s}' % bytes(nested_json.OBJECT),
    "no UTF-8": _SOUND[:-1] + b',"zone":"\xff"}',
    "unknown state": _SOUND.replace(b"ready", b"asleep"),
    "no address": _SOUND.replace(b"127.0.0.9", b"127.0.0.9\\r\\n"),
}


class _ScriptedStore:
    """Store that returns a listing and then batches of changes.

    Attributes:
        listed: Values that are listed, by name.
        changes: Names and values of changes, or errors of the watch.
    """

    def __init__(self, listed):
        self.listed = listed
        self._version = 1
        self.changes = asyncio.Queue()

    async def list_objects(self, prefix):
        stored = tuple(
            objects.PlatformObject(
                ids.ObjectKey(f"{prefix}{name}"), self._version, value
            )
            for name, value in self.listed.items()
        )
        return objects.ObjectList(self._version, stored)

    async def watch(self, prefix, after, wait_s):
        change = await self.changes.get()
        if isinstance(change, Exception):
            raise change
        name, value = change
        self._version += 1
        event = objects.ObjectEvent(
            objects.EventKind.PUT,
            ids.ObjectKey(f"{prefix}{name}"),
            self._version,
            msgspec.Raw(value),
        )
        return objects.WatchBatch(self._version, (event,))


class DiscoveryFollowerTest(unittest.IsolatedAsyncioTestCase):
    def _follow(self, **listed):
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.store = _ScriptedStore(
            {name: msgspec.Raw(value) for name, value in listed.items()}
        )
        followed = discovery_follower.DiscoveryFollower(
            self.store,
            self.directory,
            follower.FollowTiming(),
            on_failure=lambda: None,
        )
        task = asyncio.create_task(followed.run())
        self.addCleanup(task.cancel)

    async def _wait_for(self, *names):
        async with asyncio.timeout(5):
            while self._ready_names() != set(names):
                await self.directory.wait_for_change(0.1)

    def _ready_names(self):
        ready = self.directory.ready_endpoints(ids.ServiceName("s"))
        return {candidate.endpoint_id for candidate in ready}

    # Guards against a task that an entry of another writer ends.
    async def test_unreadable_entries_leave_the_others_of_a_listing(self):
        for name, value in _UNREADABLE.items():
            with self.subTest(entry=name):
                self._follow(odd=value, sound=_SOUND)
                await self._wait_for("sound")

    # Guards against an endpoint that is used although its entry can't be read.
    async def test_endpoint_whose_entry_becomes_unreadable_is_not_used(self):
        for name, value in _UNREADABLE.items():
            with self.subTest(entry=name):
                self._follow(one=_SOUND, two=_SOUND)
                await self._wait_for("one", "two")
                # After an outage, removed entries are kept for some time.
                await asyncio.sleep(forwarding_parts.SETTINGS.lapse_grace_s)
                self.store.changes.put_nowait(("one", value))
                await self._wait_for("two")

    # Guards against requests to a new endpoint above what it sustains.
    async def test_endpoint_that_appears_or_says_so_is_cold(self):
        service = msgspec.structs.replace(
            forwarding_parts.CALL_SERVICE, cold_s=1.0, cold_per_s=29.0
        )
        self._follow(one=_SOUND)
        await self._wait_for("one")
        cold = self.directory.cold_endpoints
        self.assertEqual(cold.remaining_s("one", service), 0.0)
        self.store.changes.put_nowait(("two", _SOUND))
        await self._wait_for("one", "two")
        self.assertGreater(cold.remaining_s("two", service), 0.9)
        stated = _SOUND.replace(b"{", b'{"cold_left_ms":5000,')
        self.store.changes.put_nowait(("one", stated))
        await polling.wait_until(lambda: cold.remaining_s("one", service))
        self.assertGreater(cold.remaining_s("one", service), 4.0)

    # Guards against requests to a cold endpoint above what it sustains, since
    # an older copy of the store lists the incarnation before.
    async def test_endpoint_stays_cold_if_an_older_copy_is_listed(self):
        service = msgspec.structs.replace(
            forwarding_parts.CALL_SERVICE, cold_s=0.1, cold_per_s=29.0
        )
        self._follow(one=_SOUND)
        await self._wait_for("one")
        cold = self.directory.cold_endpoints
        restarted = _SOUND.replace(b"{", b'{"cold_left_ms":9000,').replace(
            b"0123", b"9123"
        )
        self.store.changes.put_nowait(("one", restarted))
        await polling.wait_until(lambda: cold.remaining_s("one", service) > 5.0)
        self.directory.mark_source_restored()
        self.store.changes.put_nowait(errors.WatchExpiredError("restored"))
        await polling.wait_until(lambda: self.directory.is_source_reachable)
        self.assertGreater(cold.remaining_s("one", service), 5.0)
        known = self.directory.get(ids.EndpointId("one"))
        cold.state(known, 20.0)
        self.assertGreater(cold.remaining_s("one", service), 15.0)

    async def test_next_valid_entry_makes_the_endpoint_usable_again(self):
        self._follow(one=_SOUND)
        await self._wait_for("one")
        await asyncio.sleep(forwarding_parts.SETTINGS.lapse_grace_s)
        self.store.changes.put_nowait(("one", b"null"))
        await self._wait_for()
        self.store.changes.put_nowait(("one", _SOUND))
        await self._wait_for("one")


if __name__ == "__main__":
    unittest.main()
