"""Tests of listings and changes with objects that can't be decoded."""

import unittest

import httpx
import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import forwarding_parts
from tests.support import nested_json

_NESTING = bytes(nested_json.OBJECT)
_UNREADABLE_OBJECTS = {
    "number": b"7",
    "null": b"null",
    "nested": _NESTING,
    "bare NaN": b"NaN",
    "no metadata": b'{"spec":1}',
    "no name": b'{"metadata":{},"spec":1}',
    "number as name": b'{"metadata":{"name":7},"spec":1}',
    "name that is no UTF-8": b'{"metadata":{"name":"\xff"},"spec":1}',
    "nested metadata": b'{"metadata":%s,"spec":1}' % _NESTING,
    "negative revision": b'{"metadata":{"name":"x","revision":-1},"spec":1}',
    "large revision": b'{"metadata":{"name":"x","revision":%s}}' % (b"9" * 99),
}
_UNREADABLE_VALUES = {
    "nested": _NESTING,
    "bare NaN": b'{"a":NaN}',
    "no UTF-8": b'"\xff"',
    "mismatched brackets": b"[}",
}


def _item(name, value=b"{}"):
    return b'{"metadata":{"name":"%s","revision":3},"spec":%s}' % (name, value)


def _page(*items, truncated=False):
    return b'{"items":[%s],"truncated":%s,"as_of":9}' % (
        b",".join(items),
        b"true" if truncated else b"false",
    )


def _changes(*items):
    events = b",".join(
        b'{"removed":false,"object":%s}' % item for item in items
    )
    return b'{"events":[%s],"as_of":9}' % events


class StoreListingsTest(unittest.IsolatedAsyncioTestCase):
    def _create_client(self, *bodies):
        self.requests = []
        remaining = list(bodies)

        def handle(request):
            self.requests.append(request)
            return httpx.Response(200, content=remaining.pop(0))

        client = store_client.StoreClient(
            vm_config.SocketAddress("store", 1),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
            httpx.MockTransport(handle),
        )
        self.addAsyncCleanup(client.close)
        return client

    async def _list(self, *bodies, kind="things"):
        client = self._create_client(*bodies)
        listing = await client.list_objects(f"{kind}/")
        self.assertEqual(listing.version, 9)
        return {stored.key: stored.value for stored in listing.objects}

    async def _watch(self, body, kind="things"):
        batch = await self._create_client(body).watch(f"{kind}/", 4, 1.0)
        self.assertEqual(batch.version, 9)
        return {event.key: event.value for event in batch.events}

    # Guards against a listing that is lost as a whole for one object.
    async def test_unreadable_objects_leave_the_others_of_a_listing(self):
        for name, item in _UNREADABLE_OBJECTS.items():
            with self.subTest(item=name):
                listed = await self._list(_page(_item(b"a"), item, _item(b"b")))
                self.assertEqual(list(listed), ["things/a", "things/b"])

    # Guards against changes that are lost for one of them.
    async def test_unreadable_objects_leave_the_other_changes(self):
        for name, item in _UNREADABLE_OBJECTS.items():
            with self.subTest(item=name):
                changed = await self._watch(
                    _changes(_item(b"a"), item, _item(b"b"))
                )
                self.assertEqual(list(changed), ["things/a", "things/b"])

    # Guards against a change whose key is lost with its value.
    async def test_unreadable_values_are_left_to_the_reader(self):
        for name, value in _UNREADABLE_VALUES.items():
            items = (_item(b"odd", value), _item(b"a", b'{"x":1}'))
            with self.subTest(value=name):
                listed = await self._list(_page(*items))
                self.assertEqual(listed["things/odd"], msgspec.Raw(value))
                self.assertEqual(listed["things/a"], msgspec.Raw(b'{"x":1}'))
                changed = await self._watch(_changes(*items))
                self.assertEqual(changed, listed)

    # Guards against a listing that is lost as a whole for one unbalanced value.
    async def test_unbalanced_values_leave_the_others_of_a_listing(self):
        for value in (b"[" * 1000, b"[]]", b'"x'):
            listed = await self._list(
                _page(_item(b"a"), _item(b"odd", value), _item(b"b"))
            )
            self.assertLessEqual({"things/a", "things/b"}, set(listed))

    async def test_unbalanced_values_leave_the_other_changes(self):
        for value in (b"[" * 1000, b"[]]", b'"x'):
            with self.subTest(value=value[:9]):
                changed = await self._watch(
                    _changes(_item(b"a"), _item(b"odd", value), _item(b"b"))
                )
                self.assertLessEqual({"things/a", "things/b"}, set(changed))

    async def test_unbalanced_last_value_leaves_the_others(self):
        listed = await self._list(
            _page(_item(b"a"), _item(b"odd", b"[" * 1000), truncated=True),
            _page(_item(b"b")),
        )
        self.assertLessEqual({"things/a", "things/b"}, set(listed))

    # Guards against a gateway that never registers, and shares no suspects, as
    # another writer has replaced its own record.
    async def test_object_with_an_unreadable_value_can_be_replaced(self):
        for name, value in _UNREADABLE_VALUES.items():
            with self.subTest(value=name):
                client = self._create_client(_item(b"own", value))
                stored = await client.get("things/own")
                self.assertEqual(stored.version, 3)
                self.assertEqual(stored.value, msgspec.Raw(value))

    async def test_listing_continues_after_the_last_readable_name(self):
        listed = await self._list(
            _page(_item(b"a"), b"7", truncated=True), _page(_item(b"b"))
        )
        self.assertEqual(list(listed), ["things/a", "things/b"])
        self.assertEqual(self.requests[1].url.params["after"], "a")

    # Guards against a gateway without endpoints as long as an object that fills
    # a page by itself can't be decoded.
    async def test_listing_continues_after_a_page_without_readable_objects(
        self,
    ):
        for revision in (b"-1", b'"x"', b"1.5", b"9" * 99):
            item = b'{"metadata":{"name":"x","revision":%s},"spec":1}'
            page = _page(item % revision, truncated=True)
            with self.subTest(revision=revision[:9]):
                listed = await self._list(page, _page(_item(b"y")))
                self.assertEqual(list(listed), ["things/y"])
                self.assertEqual(self.requests[1].url.params["after"], "x")

    # Guards against a listing that never ends.
    async def test_listing_that_does_not_advance_raises(self):
        page = _page(_item(b"a"), truncated=True)
        for bodies in (
            [_page(b"7", truncated=True)],
            [_page(truncated=True)],
            [page, page],
        ):
            with (
                self.subTest(pages=len(bodies)),
                self.assertRaises(errors.PlatformError),
            ):
                await self._list(*bodies)

    async def test_responses_without_a_usable_version_raise(self):
        for as_of in (b"-1", b"1e3", b"9" * 99, b"9" * 5000, b"null"):
            body = b'{"items":[],"as_of":%s}' % as_of
            with (
                self.subTest(as_of=as_of[:9]),
                self.assertRaises(errors.PlatformError),
            ):
                await self._list(body)

    # Guards against large entries of other writers that add up in memory.
    async def test_values_of_endpoints_have_a_maximum_size(self):
        max_bytes = forwarding_parts.SETTINGS.store_entry_max_bytes
        large = b'"%s"' % (b"x" * (max_bytes - 1))
        page = _page(_item(b"large", large), _item(b"a", b"1"))
        listed = await self._list(page, kind="servers")
        self.assertEqual(listed["servers/large"], msgspec.Raw(b"null"))
        self.assertEqual(listed["servers/a"], msgspec.Raw(b"1"))
        changes = _changes(_item(b"large", large))
        changed = await self._watch(changes, kind="servers")
        self.assertEqual(changed["servers/large"], msgspec.Raw(b"null"))
        listed = await self._list(page, kind="config")
        self.assertEqual(listed["config/large"], msgspec.Raw(large))


if __name__ == "__main__":
    unittest.main()
