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
        buffered = buffer.GenerationBuffer()
        for start in starts:
            texts = [str(index) for index in range(start, start + 3)]
            if start > buffered.next_index:
                with self.assertRaises(errors.GenerationError):
                    buffered.append(start, texts)
            else:
                buffered.append(start, texts)
        end = buffered.next_index
        buffered.drop_before(dropped)
        first = min(dropped, end)
        self.assertEqual(
            (buffered.first_index, buffered.next_index), (first, end)
        )
        expected = [str(index) for index in range(first, end)]
        self.assertEqual(buffered.read(first, 100), expected)

    def test_dropped_index_is_not_readable(self):
        buffered = buffer.GenerationBuffer()
        buffered.append(0, ["a", "b"])
        buffered.drop_before(1)
        self.assertRaises(errors.TokensDroppedError, buffered.read, 0, 1)
