"""Tests of the isolation of entries in discovery_follower."""

import unittest
from unittest import mock

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.platform import discovery
from bronzeslip.platform import discovery_follower
from bronzeslip.settings import entry
from bronzeslip.store import follower
from bronzeslip.store import objects
from tests.support import nested_json

_ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a-1",
    "slots": 24,
    "state": "ready",
    "born": 1700000000123,
}
_SOUND = msgspec.Raw(msgspec.json.encode(_ENTRY))


def _object(name, value):
    return objects.PlatformObject(
        ids.ObjectKey(f"{discovery.PREFIX}{name}"), ids.ObjectVersion(1), value
    )


class DiscoveryFollowerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.directory = directory.EndpointDirectory(entry.EntrySettings())
        self.follower = discovery_follower.DiscoveryFollower(
            None, self.directory, follower.FollowTiming(), lambda: None
        )

    # One deeply nested entry ended all gateways that read the list.
    async def test_entry_that_cannot_be_decoded_does_not_hide_the_others(self):
        await self._list(("bad", nested_json.OBJECT), ("good", _SOUND))
        self.assertEqual(self._names(), ["good"])

    async def test_unforeseen_exception_for_one_entry_hides_no_others(self):
        with mock.patch.object(
            discovery, "decode", side_effect=_fail_for_bad(discovery.decode)
        ):
            await self._list(("bad", _SOUND), ("good", _SOUND))
        self.assertEqual(self._names(), ["good"])

    async def _list(self, *entries):
        await self.follower._on_list(
            objects.ObjectList(
                ids.ObjectVersion(1),
                tuple(_object(name, value) for name, value in entries),
            )
        )

    def _names(self):
        return [known.endpoint_id for known in self.directory.endpoints]


def _fail_for_bad(decode):
    def decode_or_fail(key, value):
        if key.endswith("bad"):
            raise ZeroDivisionError
        return decode(key, value)

    return decode_or_fail


if __name__ == "__main__":
    unittest.main()
