"""Tests of encoding and decoding frames."""

import unittest

from bronzeslip import ids
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport.frames import generation as frames

_GENERATION_ID = ids.GenerationId("g")


class CodecTest(unittest.TestCase):
    def test_decodes_what_was_encoded(self):
        batch = [
            frames.Tokens(_GENERATION_ID, 3, ["a", "b"]),
            frames.AcknowledgeTokens(_GENERATION_ID, 5),
        ]
        self.assertEqual(codec.decode(codec.encode(batch)), batch)

    def test_malformed_bytes_raise_bad_frame_error(self):
        for data in (b"", b"\xc1", b"\x91\x80", b"text"):
            with self.subTest(data=data):
                self.assertRaises(errors.BadFrameError, codec.decode, data)

    def test_unencodable_values_raise_an_error(self):
        for text in (object(), "\ud800", 1 << 70):
            with self.subTest(text=repr(text)):
                frame = frames.Tokens(_GENERATION_ID, 0, [text])
                self.assertRaises(
                    errors.UnencodableFrameError, codec.encode, [frame]
                )
