"""Tests of bronzeslip.membership.directory."""

import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.store import objects
from tests.membership import member_factory
from tests.support import nested_json


class MemberDirectoryTest(unittest.IsolatedAsyncioTestCase):
    # One deeply nested record ended all processes that read the members.
    async def test_record_that_cannot_be_decoded_does_not_hide_the_others(self):
        record = member_factory.create_gateway("g1")
        key = member.key_of(record)
        sound = msgspec.Raw(msgspec.json.encode(record))
        members = directory.MemberDirectory()
        await members.on_list(
            objects.ObjectList(
                ids.ObjectVersion(1),
                (
                    objects.PlatformObject("members/x", 1, nested_json.OBJECT),
                    objects.PlatformObject(key, 1, sound),
                ),
            )
        )
        self.assertEqual(members.members(), (record,))


if __name__ == "__main__":
    unittest.main()
