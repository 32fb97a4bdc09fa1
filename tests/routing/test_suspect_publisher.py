"""Tests of bronzeslip.routing.suspect_publisher."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.entry import suspect_list_settings
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher


class _FailingStore:
    """Fake store whose first call fails in an unforeseen way."""

    def __init__(self):
        self.calls = 0
        self.created = {}

    async def get(self, key):
        self.calls += 1
        if self.calls == 1:
            raise RecursionError

    async def create(self, key, value):
        self.created[key] = value


class SuspectPublisherTest(unittest.IsolatedAsyncioTestCase):
    # Suspects whose write failed in an unforeseen way were not written until
    # the next suspect was recorded.
    async def test_failed_write_is_repeated_when_the_publisher_runs_again(self):
        settings = suspect_list_settings.SuspectListSettings(
            ids.VmId("one"), 60.0
        )
        store = _FailingStore()
        publisher = suspect_publisher.SuspectPublisher(
            settings, store, set, suspect_list.SuspectList(settings)
        )
        publisher.publish()
        with self.assertRaises(RecursionError):
            await publisher.run()
        running = asyncio.create_task(publisher.run())
        self.addCleanup(running.cancel)
        await publisher.wait_published(timeout_s=5.0)
        self.assertEqual(list(store.created), ["suspects/one"])


if __name__ == "__main__":
    unittest.main()
