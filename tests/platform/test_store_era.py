"""Tests of a store that was restored from an older copy."""

import unittest

import httpx

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import forwarding_parts

_KEY = ids.ObjectKey("things/a")


def _item(revision):
    return {"metadata": {"name": "a", "revision": revision}, "spec": 1}


def _respond(status, era, json=None):
    headers = {} if era is None else {"Store-Era": str(era)}
    return httpx.Response(status, headers=headers, json=json)


class StoreEraTest(unittest.IsolatedAsyncioTestCase):
    def _create_client(self, *responses):
        self.requests = []
        self.restores = 0
        remaining = list(responses)

        def handle(request):
            self.requests.append(request)
            return remaining.pop(0)

        def on_restored():
            self.restores += 1

        self.client = store_client.StoreClient(
            vm_config.SocketAddress("store", 1),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
            httpx.MockTransport(handle),
        )
        self.client.era.add_listener(on_restored)
        self.addAsyncCleanup(self.client.close)

    async def test_first_era_is_no_restore(self):
        self._create_client(_respond(200, 4, _item(7)))
        await self.client.get(_KEY)
        self.assertEqual(self.restores, 0)

    async def test_each_era_notifies_once(self):
        self._create_client(
            _respond(200, 1, _item(7)),
            _respond(200, 2, _item(5)),
            _respond(503, 3),
            _respond(200, 3, _item(5)),
        )
        await self.client.get(_KEY)
        await self.client.get(_KEY)
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.client.get(_KEY)
        await self.client.get(_KEY)
        self.assertEqual(self.restores, 2)

    # A callback that raised failed the call that had noticed the restore, and
    # the callbacks after it never learned of it.
    async def test_failed_listener_does_not_fail_the_call(self):
        self._create_client(
            _respond(200, 1, _item(7)), _respond(200, 2, _item(5))
        )
        later = []

        def fail():
            raise KeyError

        self.client.era.add_listener(fail)
        self.client.era.add_listener(lambda: later.append(1))
        await self.client.get(_KEY)
        self.assertIsNotNone(await self.client.get(_KEY))
        self.assertEqual(later, [1])

    async def test_same_revision_of_another_era_is_another_version(self):
        self._create_client(
            _respond(200, 1, _item(7)), _respond(200, 2, _item(7))
        )
        first = await self.client.get(_KEY)
        second = await self.client.get(_KEY)
        self.assertLess(first.version, second.version)

    async def test_conditional_write_across_an_era_is_not_sent(self):
        self._create_client(
            _respond(200, 1, _item(7)), _respond(200, 2, _item(7))
        )
        read = await self.client.get(_KEY)
        await self.client.get(_KEY)
        with self.assertRaises(errors.VersionConflictError):
            await self.client.update(_KEY, 2, read.version)
        with self.assertRaises(errors.VersionConflictError):
            await self.client.delete(_KEY, read.version)
        self.assertEqual(len(self.requests), 2)

    async def test_conditional_write_answered_in_a_new_era_is_not_confirmed(
        self,
    ):
        self._create_client(
            _respond(200, 1, _item(7)), _respond(200, 2, _item(8))
        )
        read = await self.client.get(_KEY)
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.client.update(_KEY, 2, read.version)

    async def test_response_of_an_older_era_is_dropped(self):
        self._create_client(
            _respond(200, 2, _item(7)), _respond(200, 1, _item(9))
        )
        await self.client.get(_KEY)
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.client.get(_KEY)

    async def test_response_without_an_era_is_dropped_once_one_is_known(self):
        self._create_client(
            _respond(200, 2, _item(7)), _respond(200, None, _item(9))
        )
        await self.client.get(_KEY)
        with self.assertRaises(errors.PlatformUnavailableError):
            await self.client.get(_KEY)

    async def test_watch_that_is_answered_in_a_new_era_expires(self):
        self._create_client(
            _respond(200, 1, {"items": [], "as_of": 9}),
            _respond(200, 2, {"events": [], "as_of": 9}),
        )
        listing = await self.client.list_objects("things/")
        with self.assertRaises(errors.WatchExpiredError):
            await self.client.watch("things/", listing.version, 0.1)

    async def test_watch_from_an_older_era_is_not_sent(self):
        self._create_client(
            _respond(200, 1, {"items": [], "as_of": 9}),
            _respond(200, 2, _item(7)),
        )
        listing = await self.client.list_objects("things/")
        await self.client.get(_KEY)
        with self.assertRaises(errors.WatchExpiredError):
            await self.client.watch("things/", listing.version, 0.1)
        self.assertEqual(len(self.requests), 2)

    async def test_pages_of_two_eras_are_no_listing(self):
        self._create_client(
            _respond(
                200, 1, {"items": [_item(3)], "as_of": 9, "truncated": True}
            ),
            _respond(200, 2, {"items": [], "as_of": 5}),
        )
        with self.assertRaises(errors.WatchExpiredError):
            await self.client.list_objects("things/")

    async def test_sent_revision_does_not_contain_the_era(self):
        self._create_client(
            _respond(200, 3, _item(7)), _respond(200, 3, _item(8))
        )
        read = await self.client.get(_KEY)
        await self.client.update(_KEY, 2, read.version)
        self.assertIn(b'"revision":7', self.requests[1].content)


if __name__ == "__main__":
    unittest.main()
