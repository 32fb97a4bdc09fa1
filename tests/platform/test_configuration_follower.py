"""Tests of bronzeslip.platform.configuration_follower."""

import unittest

from bronzeslip import ids
from bronzeslip.platform import configuration
from bronzeslip.platform import configuration_follower
from bronzeslip.routes import current
from bronzeslip.store import follower
from bronzeslip.store import objects
from tests.platform import test_configuration
from tests.support import nested_json


class ConfigurationFollowerTest(unittest.IsolatedAsyncioTestCase):
    # One deeply nested configuration ended all gateways that read it.
    async def test_configuration_that_cannot_be_decoded_changes_nothing(self):
        table = current.CurrentTable()
        tested = configuration_follower.ConfigurationFollower(
            None, table, follower.FollowTiming()
        )
        for value in (test_configuration._document(), nested_json.OBJECT):
            stored = objects.PlatformObject(
                configuration.KEY, ids.ObjectVersion(1), value
            )
            await tested._on_list(
                objects.ObjectList(ids.ObjectVersion(1), (stored,))
            )
        self.assertEqual(table.table.version, 7)


if __name__ == "__main__":
    unittest.main()
