"""Tests of bronzeslip.platform.discovery."""

import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import discovery
from bronzeslip.platform import errors

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
