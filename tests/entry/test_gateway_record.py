"""Tests of bronzeslip.entry.gateway_record."""

import unittest

import msgspec

from bronzeslip.entry import gateway_record
from bronzeslip.entry import vm_config
from tests.support import nested_json


def _address(host, port):
    return {"vm_id": "a", "peer_address": {"host": host, "port": port}}


class DecodeTest(unittest.TestCase):
    def test_record_is_decoded(self):
        raw = msgspec.Raw(msgspec.json.encode(_address("10.0.0.9", 80)))
        self.assertEqual(
            gateway_record.decode(raw),
            gateway_record.GatewayRecord(
                "a", vm_config.SocketAddress("10.0.0.9", 80)
            ),
        )

    # Guards against a record of another writer that ends the task that counts
    # gateways, or to whose address every call fails unexpectedly.
    def test_unusable_records_are_none(self):
        for raw in (
            b"null",
            b'"\xff"',
            bytes(nested_json.OBJECT),
            b'{"vm_id":"a","x":%s}' % bytes(nested_json.OBJECT),
            msgspec.json.encode(_address("10.0.0.9", 70_000)),
            msgspec.json.encode(_address("10.0.0.9", 0)),
            msgspec.json.encode(_address("10.0.0.9\r\n", 80)),
            msgspec.json.encode(_address("a@b/", 80)),
            msgspec.json.encode(_address("", 80)),
            msgspec.json.encode(_address("[::", 80)),
            msgspec.json.encode(_address("\u00e9" * 80, 80)),
            msgspec.json.encode(_address("a" * 1_000_000, 80)),
            msgspec.json.encode(_address("10.0.0.9", -1)),
        ):
            with self.subTest(raw=raw[:60]):
                self.assertIsNone(gateway_record.decode(msgspec.Raw(raw)))


if __name__ == "__main__":
    unittest.main()
