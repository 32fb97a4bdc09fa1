"""Tests of bronzeslip.platform.store_client with scripted responses."""

import asyncio
import gzip
import tracemalloc
import unittest

import httpx
import msgspec

from bronzeslip.entry import vm_config
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from bronzeslip.store import objects
from tests.support import forwarding_parts


def _item(name, revision, spec):
    return {
        "metadata": {
            "name": name,
            "revision": revision,
            "create_revision": 1,
            "finalizers": [],
            "deleting": False,
        },
        "spec": spec,
        "status": None,
    }


# Ten times the timeout of a call.
_LISTING_TIMEOUT_S = 6.0


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.requests = []
        self.calls = []

    def _create_client(self, *responses):
        remaining = list(responses)

        def handle(request):
            self.requests.append(request)
            response_or_error = remaining.pop(0)
            if isinstance(response_or_error, Exception):
                raise response_or_error
            return response_or_error

        return self._create_client_of(handle)

    def _create_client_of(self, handle):
        client = store_client.StoreClient(
            vm_config.SocketAddress("store", 1),
            forwarding_parts.SETTINGS,
            lambda method, result: self.calls.append((method, result)),
            httpx.MockTransport(handle),
        )
        self.addAsyncCleanup(client.close)
        return client

    async def test_list_reads_every_page(self):
        client = self._create_client(
            httpx.Response(
                200,
                json={
                    "items": [_item("a", 3, 1)],
                    "truncated": True,
                    "as_of": 9,
                },
            ),
            httpx.Response(
                200,
                json={
                    "items": [_item("b", 4, 2)],
                    "truncated": False,
                    "as_of": 12,
                },
            ),
        )
        listing = await client.list_objects("things/")
        self.assertEqual(
            [stored.key for stored in listing.objects],
            ["things/a", "things/b"],
        )
        self.assertEqual(listing.version, 9)
        self.assertEqual(self.requests[1].url.params["after"], "a")

    # Guards against a listing without end that fills the memory.
    async def test_listing_whose_parts_never_end_is_given_up(self):
        part_count = 0

        def handle(request):
            nonlocal part_count
            part_count += 1
            item = _item(f"{part_count:09}", part_count, "x" * 1_000_000)
            return httpx.Response(
                200,
                json={
                    "items": [item],
                    "truncated": True,
                    "as_of": part_count,
                },
            )

        with self.assertRaises(errors.PlatformUnavailableError):
            await self._create_client_of(handle).list_objects("things/")
        self.assertLess(part_count, 40)

    # Guards against small parts without end, which take all of the time.
    async def test_listing_is_given_up_after_a_time(self):
        part_count = 0

        async def handle(request):
            nonlocal part_count
            part_count += 1
            await asyncio.sleep(0.1)
            return httpx.Response(
                200,
                json={
                    "items": [_item(f"{part_count:09}", part_count, 1)],
                    "truncated": True,
                    "as_of": part_count,
                },
            )

        client = self._create_client_of(handle)
        async with asyncio.timeout(2 * _LISTING_TIMEOUT_S):
            with self.assertRaises(errors.PlatformUnavailableError):
                await client.list_objects("things/")

    async def test_watch_returns_changes_and_removals(self):
        events = [
            {"removed": False, "object": _item("a", 5, {"x": 1})},
            {"removed": True, "object": _item("b", 6, None)},
        ]
        client = self._create_client(
            httpx.Response(200, json={"events": events, "as_of": 6})
        )
        batch = await client.watch("things/", 4, 1.5)
        self.assertEqual(batch.version, 6)
        self.assertIs(batch.events[0].kind, objects.EventKind.PUT)
        self.assertIs(batch.events[1].kind, objects.EventKind.DELETE)
        self.assertEqual(self.requests[0].url.params["wait_ms"], "1500")

    async def test_expired_watch_raises(self):
        client = self._create_client(httpx.Response(410))
        with self.assertRaises(errors.WatchExpiredError):
            await client.watch("things/", 4, 1.0)

    async def test_rate_limits_server_errors_and_timeouts_are_unavailable(self):
        client = self._create_client(
            httpx.Response(429), httpx.Response(503), httpx.ReadTimeout("x")
        )
        for _ in range(3):
            with self.assertRaises(errors.PlatformUnavailableError):
                await client.get("things/a")

    async def test_conditional_update_sends_the_revision(self):
        client = self._create_client(
            httpx.Response(200, json=_item("a", 8, {"x": 2})),
            httpx.Response(409, json=_item("a", 9, {"x": 3})),
        )
        updated = await client.update("things/a", {"x": 2}, 7)
        self.assertEqual(updated.version, 8)
        body = msgspec.json.decode(self.requests[0].content)
        self.assertEqual(body["metadata"], {"name": "a", "revision": 7})
        with self.assertRaises(errors.VersionConflictError):
            await client.update("things/a", {"x": 2}, 7)

    async def test_missing_object_is_none(self):
        client = self._create_client(httpx.Response(404))
        self.assertIsNone(await client.get("things/a"))

    # Guards against a small compressed response that takes all memory.
    async def test_compressed_responses_are_not_decompressed(self):
        body = gzip.compress(b"0" * 100_000_000)
        client = self._create_client(
            httpx.Response(
                200,
                headers={"Content-Encoding": "gzip"},
                stream=httpx.ByteStream(body),
            )
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(errors.PlatformError):
            await client.list_objects("servers/")
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 10_000_000)
        self.assertEqual(
            self.requests[0].headers["Accept-Encoding"], "identity"
        )

    async def test_invalid_responses_raise(self):
        client = self._create_client(httpx.Response(200, content=b"{"))
        with self.assertRaises(errors.PlatformError):
            await client.list_objects("things/")
