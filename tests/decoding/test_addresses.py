"""Tests of addresses in text from outside the process."""

import unittest

from bronzeslip.decoding import addresses
from bronzeslip.decoding import errors

_UNUSABLE = (
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:8_0",
    "127.0.0.1:80 ",
    "127.0.0.1:\u0668\u0660",
    " 127.0.0.1:80",
    "127.0.0.1 :80",
    "127.0.0.1\r\nx:80",
    "127.0.0.1\n:80",
    "127.0.0.256:80",
    "127.1:80",
    "0127.0.0.1:80",
    "\u0661.0.0.1:80",
    "[::1]:80",
    "::1:80",
    "a@127.0.0.1:80",
    "127.0.0.1:80/x",
    "localhost:80",
)


class AddressesTest(unittest.TestCase):
    # Guards against endpoints at addresses to which every request fails.
    def test_unusable_addresses_raise(self):
        for text in _UNUSABLE:
            with (
                self.subTest(text=text[:40]),
                self.assertRaises(errors.UndecodableError),
            ):
                addresses.parse(text)

    def test_host_and_port_are_returned(self):
        self.assertEqual(addresses.parse("127.0.0.1:1"), ("127.0.0.1", 1))
        self.assertEqual(
            addresses.parse("10.200.1.7:65535"), ("10.200.1.7", 65_535)
        )


if __name__ == "__main__":
    unittest.main()
