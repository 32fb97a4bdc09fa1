"""Tests of bronzeslip.http.message_pieces."""

import unittest

from bronzeslip.http import message_pieces

_HEAD = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class MessagePiecesTest(unittest.TestCase):
    def setUp(self):
        self.pieces = message_pieces.MessagePieces()

    def take_all(self, remaining_bytes=0):
        taken = []
        while self.pieces:
            taken.append(self.pieces.take(remaining_bytes))
        return taken

    def test_no_piece_holds_parts_of_two_requests(self):
        self.pieces.add(_HEAD * 3)
        self.assertEqual(self.take_all(), [_HEAD] * 3)

    # Guards against an end that is not found because it was received in parts.
    def test_an_end_may_be_received_in_parts(self):
        for size_bytes in range(1, len(_HEAD)):
            with self.subTest(size_bytes=size_bytes):
                self.pieces = message_pieces.MessagePieces()
                self.pieces.add(_HEAD[:size_bytes])
                first = self.take_all()
                self.pieces.add(_HEAD[size_bytes:] + _HEAD)
                rest = self.take_all()
                self.assertEqual(b"".join(first + rest[:-1]), _HEAD)
                self.assertEqual(rest[-1], _HEAD)

    def test_body_of_stated_length_is_one_piece(self):
        body = b"\r\n\r\n" * 10_000
        self.pieces.add(body + _HEAD)
        self.assertEqual(self.pieces.take(len(body)), body)
        self.assertEqual(self.take_all(), [_HEAD])

    def test_pieces_are_bounded(self):
        self.pieces.add(b"x" * 10_000)
        for piece in self.take_all():
            self.assertLessEqual(len(piece), message_pieces.MAX_PIECE_BYTES)


if __name__ == "__main__":
    unittest.main()
