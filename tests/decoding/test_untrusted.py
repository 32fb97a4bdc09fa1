"""Tests of the decoding of data from outside the process."""

import unittest

import msgspec

from bronzeslip.decoding import errors
from bronzeslip.decoding import untrusted

_DEPTH = 100_000


class _Value(msgspec.Struct):
    count: int = 0
    ratio: float = 0.0
    name: str = ""


_UNDECODABLE = {
    "empty": b"",
    "deep unknown field": b'{"x":%s}' % (b"[" * _DEPTH + b"]" * _DEPTH),
    "deep document": b"[" * _DEPTH,
    "integer of thousands of digits": b'{"count":%s}' % (b"9" * 5000),
    "infinite number": b'{"ratio":1e999}',
    "bare NaN": b'{"ratio":NaN}',
    "text that is no UTF-8": b'{"name":"\xff"}',
    "half of a surrogate pair": rb'{"name":"\ud800"}',
    "other type": b"[]",
}


class UntrustedTest(unittest.TestCase):
    # Guards against exceptions of the decoders that callers don't expect and
    # that end a background task.
    def test_every_failure_raises_the_typed_error(self):
        for name, data in _UNDECODABLE.items():
            with (
                self.subTest(data=name),
                self.assertRaises(errors.UndecodableError),
            ):
                untrusted.from_json(data, _Value)

    def test_deep_msgpack_raises_the_typed_error(self):
        with self.assertRaises(errors.UndecodableError):
            untrusted.from_msgpack(b"\x91" * _DEPTH, list)

    def test_values_of_another_type_raise_the_typed_error(self):
        with self.assertRaises(errors.UndecodableError):
            untrusted.from_builtins({"count": "x"}, _Value)

    def test_the_reason_has_a_limited_length(self):
        with self.assertRaises(errors.UndecodableError) as caught:
            untrusted.from_json(
                b'"%s"' % (b"x" * 10_000), type("X", (_Value,), {})
            )
        self.assertLess(len(caught.exception.message), 300)

    def test_decodes_sound_data(self):
        expected = _Value(3, 0.5, "a")
        encoded = msgspec.json.encode(expected)
        self.assertEqual(untrusted.from_json(encoded, _Value), expected)
        self.assertEqual(
            untrusted.from_json(msgspec.Raw(encoded), _Value), expected
        )
        packed = msgspec.msgpack.encode(expected)
        self.assertEqual(untrusted.from_msgpack(packed, _Value), expected)
        tree = {"count": 3, "ratio": 0.5, "name": "a"}
        self.assertEqual(untrusted.from_builtins(tree, _Value), expected)


if __name__ == "__main__":
    unittest.main()
