"""Tests of activating configurations from their platform objects."""

import unittest

from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import store
from bronzeslip.configuration import watcher
from bronzeslip.store import objects
from standins.platform import app
from tests.configuration import test_store
from tests.support import in_process


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = app.PlatformStandin()
        self.platform = in_process.create_platform_client(self.standin)
        self.addAsyncCleanup(self.platform.close)
        self.store = store.ConfigurationStore(self.platform)
        self.active_configuration = in_force.ActiveConfiguration()
        self.watcher = watcher.ConfigurationWatcher(self.active_configuration)

    async def apply(self, base_number, name):
        await self.store.apply(
            test_store.request(base_number, test_store.workspace_patch(name))
        )

    async def events(self):
        batch = await self.platform.watch(manifest.PREFIX, 0, 0.0)
        return batch.events

    async def test_empty_platform_gives_number_zero(self):
        await self.watcher.on_list(objects.ObjectList(0, ()))
        self.assertEqual(self.active_configuration.number, 0)

    async def test_activates_only_when_every_segment_has_arrived(self):
        await self.apply(0, "a")
        for event in reversed(await self.events()):
            self.assertEqual(self.active_configuration.number, -1)
            await self.watcher.on_event(event)
        self.assertEqual(self.active_configuration.number, 1)
        self.assertEqual(
            list(self.active_configuration.current.document.workspaces), ["a"]
        )

    async def test_follows_events_in_order(self):
        numbers = []
        for base in range(3):
            await self.apply(base, f"w-{base}")
        for event in await self.events():
            await self.watcher.on_event(event)
            numbers.append(self.active_configuration.number)
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(self.active_configuration.number, 3)
        self.assertEqual(
            len(self.active_configuration.current.document.workspaces), 3
        )

    async def test_older_list_changes_nothing(self):
        await self.apply(0, "a")
        older = await self.platform.list_objects(manifest.PREFIX)
        await self.apply(1, "b")
        await self.watcher.on_list(
            await self.platform.list_objects(manifest.PREFIX)
        )
        await self.watcher.on_list(older)
        self.assertEqual(self.active_configuration.number, 2)

    async def test_unreadable_manifest_keeps_what_is_in_force(self):
        await self.apply(0, "a")
        listed = await self.platform.list_objects(manifest.PREFIX)
        await self.watcher.on_list(listed)
        with self.assertLogs():
            await self.watcher.on_event(
                objects.ObjectEvent(
                    objects.EventKind.PUT,
                    manifest.MANIFEST_KEY,
                    listed.version + 1,
                    b'{"number": "x"}',
                )
            )
        self.assertEqual(self.active_configuration.number, 1)


if __name__ == "__main__":
    unittest.main()
