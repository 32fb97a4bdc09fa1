"""Tests of numbers in text from outside the process."""

import unittest

from bronzeslip.decoding import numbers

_NO_NUMBERS = ("", " 1", "1\n", "-1", "+1", "1_0", "\u0661", "\u00b2", "0x1")
_TOO_LARGE = ("9" * 16, "9" * 400, "9" * 5000)


class NumbersTest(unittest.TestCase):
    def test_counts(self):
        self.assertEqual(numbers.parse_count("0"), 0)
        self.assertEqual(numbers.parse_count("9007199254740992"), 2**53)
        for text in (*_NO_NUMBERS, *_TOO_LARGE, "1.5"):
            with self.subTest(text=text[:20]):
                self.assertIsNone(numbers.parse_count(text))

    def test_decimal_numbers(self):
        self.assertEqual(numbers.parse_decimal("0"), 0.0)
        self.assertEqual(numbers.parse_decimal("2.5"), 2.5)
        for text in (*_NO_NUMBERS, *_TOO_LARGE, ".5", "5.", "1e3", "nan"):
            with self.subTest(text=text[:20]):
                self.assertIsNone(numbers.parse_decimal(text))


if __name__ == "__main__":
    unittest.main()
