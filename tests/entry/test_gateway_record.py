"""Tests of bronzeslip.entry.gateway_record."""

import unittest

import msgspec

from bronzeslip.entry import gateway_record
from tests.support import nested_json


def _decode(host, port):
    address = {"host": host, "port": port}
    record = {"vm_id": "g", "peer_address": address}
    return gateway_record.decode(msgspec.Raw(msgspec.json.encode(record)))


class DecodeTest(unittest.TestCase):
    def test_record_with_an_address_is_read(self):
        self.assertEqual(_decode("10.0.0.9", 7200).peer_address.port, 7200)

    # Guards against records of another writer that ended sound requests with an
    # exception when their gateway was asked for a permit.
    def test_record_without_a_usable_address_is_not_read(self):
        for host, port in (
            ("10.0.0.9\r\nx", 7200),
            ("[::", 7200),
            ("", 7200),
            ("\u00e9" * 80, 7200),
            ("a" * 1_000_000, 7200),
            ("10.0.0.9", 70000),
            ("10.0.0.9", 0),
            ("10.0.0.9", -1),
        ):
            with self.subTest(host=host[:20], port=port):
                self.assertIsNone(_decode(host, port))

    def test_record_that_is_nested_too_deeply_is_not_read(self):
        self.assertIsNone(gateway_record.decode(nested_json.OBJECT))


if __name__ == "__main__":
    unittest.main()
