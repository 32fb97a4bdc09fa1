"""Tests of bronzeslip.platform.discovery."""

import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import discovery
from bronzeslip.platform import errors
from tests.support import nested_json

_KEY = ids.ObjectKey("servers/i-1")
_ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a-1",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 1700000000123,
}


_NESTING = bytes(nested_json.OBJECT)


def _decode(**changes):
    raw = msgspec.Raw(msgspec.json.encode({**_ENTRY, **changes}))
    return discovery.decode(_KEY, raw)


class DecodeTest(unittest.TestCase):
    def test_fields_are_decoded(self):
        decoded = _decode()
        self.assertEqual(decoded.endpoint_id, "i-1")
        self.assertEqual(decoded.address, "10.0.0.9:8080")
        self.assertEqual(decoded.warmup_remaining_s, 1.5)
        self.assertEqual(decoded.started_unix_ms, 1700000000123)
        self.assertTrue(decoded.is_ready)

    def test_draining_endpoints_are_leaving(self):
        decoded = _decode(state="draining")
        self.assertIs(decoded.state, endpoint.EndpointState.LEAVING)

    def test_invalid_entries_raise(self):
        for changes in (
            {"state": "sleeping"},
            {"service": 7},
            {"service": ""},
            {"address": "nowhere"},
            {"address": None},
            {"slots": 0},
            {"slots": "many"},
            {"zone": []},
        ):
            with (
                self.subTest(changes=changes),
                self.assertRaises(errors.EntryError),
            ):
                _decode(**changes)

    def test_undecodable_values_raise(self):
        for raw in (b"null", b"[]", b'"text"', b"{"):
            with self.subTest(raw=raw), self.assertRaises(errors.EntryError):
                discovery.decode(_KEY, msgspec.Raw(raw))

    # Guards against entries of other writers that end the task that reads
    # them, and with it the process.
    def test_extreme_values_raise_the_typed_error(self):
        entry = msgspec.json.encode(_ENTRY)[:-1]
        for name, raw in (
            ("nested", _NESTING),
            ("nested unknown field", entry + b',"x":%s}' % _NESTING),
            ("digits", entry + b',"born":%s}' % (b"9" * 5000)),
            ("large born", entry + b',"born":%s}' % (b"9" * 4000)),
            ("negative born", entry + b',"born":-1}'),
            ("large slots", entry + b',"slots":9007199254740993}'),
            ("infinite", entry + b',"cold_left_ms":1e999}'),
            ("large warm-up", entry + b',"cold_left_ms":1e300}'),
            ("no UTF-8", entry + b',"zone":"\xff\xfe"}'),
        ):
            with self.subTest(entry=name), self.assertRaises(errors.EntryError):
                discovery.decode(_KEY, msgspec.Raw(raw))

    # Guards against endpoints that every request to fails at.
    def test_unusable_addresses_raise(self):
        for address in (
            "127.0.0.1:70000",
            "127.0.0.1:" + "9" * 5000,
            "127.0.0.1\r\nx:80",
            "127.0.0.1 :80",
            "[127.0.0.1]:80",
        ):
            with (
                self.subTest(address=address[:30]),
                self.assertRaises(errors.EntryError),
            ):
                _decode(address=address)

    # Guards against ids that can't be sent in a header.
    def test_unusable_ids_raise(self):
        raw = msgspec.Raw(msgspec.json.encode(_ENTRY))
        for name in ("", "a b", "a\r\nb", "\u00e9", "\U0001f600", "x" * 5000):
            with (
                self.subTest(name=name[:10]),
                self.assertRaises(errors.EntryError),
            ):
                discovery.decode(ids.ObjectKey(f"servers/{name}"), raw)
