"""Tests of bronzeslip.platform.store_client against scripted answers."""

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


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    def _create(self, *answers):
        self.requests = []
        self.calls = []
        remaining = list(answers)

        def answer(request):
            self.requests.append(request)
            response_or_error = remaining.pop(0)
            if isinstance(response_or_error, Exception):
                raise response_or_error
            return response_or_error

        client = store_client.StoreClient(
            vm_config.SocketAddress("store", 1),
            forwarding_parts.SETTINGS,
            lambda method, result: self.calls.append((method, result)),
            httpx.MockTransport(answer),
        )
        self.addAsyncCleanup(client.close)
        return client

    async def test_list_reads_every_page(self):
        client = self._create(
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
        listed = await client.list_objects("things/")
        self.assertEqual(
            [stored.key for stored in listed.objects],
            ["things/a", "things/b"],
        )
        self.assertEqual(listed.version, 9)
        self.assertEqual(self.requests[1].url.params["after"], "a")

    async def test_watch_tells_changes_and_removals(self):
        events = [
            {"removed": False, "object": _item("a", 5, {"x": 1})},
            {"removed": True, "object": _item("b", 6, None)},
        ]
        client = self._create(
            httpx.Response(200, json={"events": events, "as_of": 6})
        )
        batch = await client.watch("things/", 4, 1.5)
        self.assertEqual(batch.version, 6)
        self.assertIs(batch.events[0].kind, objects.EventKind.PUT)
        self.assertIs(batch.events[1].kind, objects.EventKind.DELETE)
        self.assertEqual(self.requests[0].url.params["wait_ms"], "1500")

    async def test_lost_history_is_told_apart(self):
        client = self._create(httpx.Response(410))
        with self.assertRaises(errors.WatchExpiredError):
            await client.watch("things/", 4, 1.0)

    async def test_refusals_and_silence_count_as_unavailable(self):
        client = self._create(
            httpx.Response(429), httpx.Response(503), httpx.ReadTimeout("x")
        )
        for _ in range(3):
            with self.assertRaises(errors.PlatformUnavailableError):
                await client.get("things/a")

    async def test_conditional_update_names_the_revision(self):
        client = self._create(
            httpx.Response(200, json=_item("a", 8, {"x": 2})),
            httpx.Response(409, json=_item("a", 9, {"x": 3})),
        )
        written = await client.update("things/a", {"x": 2}, 7)
        self.assertEqual(written.version, 8)
        body = msgspec.json.decode(self.requests[0].content)
        self.assertEqual(body["metadata"], {"name": "a", "revision": 7})
        with self.assertRaises(errors.VersionConflictError):
            await client.update("things/a", {"x": 2}, 7)

    async def test_missing_object_is_none(self):
        client = self._create(httpx.Response(404))
        self.assertIsNone(await client.get("things/a"))

    async def test_unreadable_answers_raise(self):
        client = self._create(httpx.Response(200, content=b"{"))
        with self.assertRaises(errors.PlatformError):
            await client.list_objects("things/")
