"""Tests of the token buffer."""

import unittest

from hypothesis import given
from hypothesis import strategies

from bronzeslip.generation import buffer
from bronzeslip.generation import errors


class GenerationBufferTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.integers(0, 40), max_size=20),
        strategies.integers(0, 40),
    )
    def test_keeps_each_token_once_in_order(self, starts, dropped):
        kept = buffer.GenerationBuffer()
        for start in starts:
            texts = [str(index) for index in range(start, start + 3)]
            if start > kept.next_index:
                with self.assertRaises(errors.GenerationError):
                    kept.append(start, texts)
            else:
                kept.append(start, texts)
        end = kept.next_index
        kept.drop_before(dropped)
        first = min(dropped, end)
        self.assertEqual((kept.first_index, kept.next_index), (first, end))
        wanted = [str(index) for index in range(first, end)]
        self.assertEqual(kept.read(first, 100), wanted)

    def test_dropped_index_is_gone(self):
        kept = buffer.GenerationBuffer()
        kept.append(0, ["a", "b"])
        kept.drop_before(1)
        self.assertRaises(errors.TokensDroppedError, kept.read, 0, 1)
