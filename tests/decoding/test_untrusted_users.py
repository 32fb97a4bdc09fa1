"""Tests of the modules that decode data of other processes."""

import unittest

import httpx

from bronzeslip import ids
from bronzeslip.claims import errors as claim_errors
from bronzeslip.claims import store as claims_store
from bronzeslip.configuration import document
from bronzeslip.configuration import errors as configuration_errors
from bronzeslip.configuration import history
from bronzeslip.configuration import manifest
from bronzeslip.configuration import segment_cache
from bronzeslip.engine import client as engine_client
from bronzeslip.engine import errors as engine_errors
from bronzeslip.membership import member
from bronzeslip.store import client as store_client
from bronzeslip.store import errors as store_errors
from bronzeslip.store import objects
from bronzeslip.transport import codec
from bronzeslip.transport import errors as transport_errors
from tests.support import nested_json

_STORED = objects.PlatformObject(ids.ObjectKey("a"), 1, nested_json.OBJECT)


class _Store:
    async def get(self, key):
        return _STORED


# Guards against deeply nested data that raises an exception which no caller
# of these modules expects.
class NestedDataTest(unittest.IsolatedAsyncioTestCase):
    def test_stored_records(self):
        with self.assertRaises(claim_errors.ClaimError):
            claims_store.decode(_STORED)
        self.assertIsNone(member.decode(nested_json.OBJECT))
        with self.assertRaises(configuration_errors.InvalidDocumentError):
            segment_cache.decode_manifest(_STORED)

    def test_plain_values(self):
        tree = {}
        for _ in range(100_000):
            tree = {"x": tree}
        with self.assertRaises(configuration_errors.InvalidDocumentError):
            document.parse({"services": {"a": tree}})
        while tree:
            tree = tree["x"]

    async def test_history_without_a_readable_block(self):
        patches = history.PatchHistory(_Store())
        self.assertEqual(await patches.read_block(0), ())

    def test_frames(self):
        with self.assertRaises(transport_errors.BadFrameError):
            codec.decode(b"\x91" * 100_000)

    async def test_responses_of_the_store(self):
        client = store_client.PlatformClient(
            "http://store", 1.0, _respond(bytes(nested_json.OBJECT))
        )
        self.addAsyncCleanup(client.close)
        with self.assertRaises(store_errors.PlatformError):
            await client.list_objects("a/")

    async def test_responses_of_an_engine(self):
        client = engine_client.EngineClient(
            "http://engine", _respond(bytes(nested_json.OBJECT))
        )
        self.addAsyncCleanup(client.close)
        for call in (client.load, client.state):
            with (
                self.subTest(call=call.__name__),
                self.assertRaises(engine_errors.EngineError),
            ):
                await call()

    async def test_events_of_an_engine(self):
        body = b"data: %s\n\n" % bytes(nested_json.OBJECT)
        stream_type = {"Content-Type": "text/event-stream"}
        client = engine_client.EngineClient(
            "http://engine", _respond(body, stream_type)
        )
        self.addAsyncCleanup(client.close)
        with self.assertRaises(engine_errors.EngineError):
            async for _ in client.resume(ids.GenerationId("g"), 0):
                pass


class SegmentNameTest(unittest.TestCase):
    def test_names_of_other_writers_have_no_number(self):
        for name in ("", "a", "-1-a", "9" * 5000, "\u0661-a"):
            with self.subTest(name=name[:9]):
                self.assertIsNone(manifest.number_from_name(name))
        self.assertEqual(manifest.number_from_name("12-t-b"), 12)


def _respond(body, headers=None):
    return httpx.MockTransport(
        lambda _: httpx.Response(200, content=body, headers=headers)
    )


if __name__ == "__main__":
    unittest.main()
