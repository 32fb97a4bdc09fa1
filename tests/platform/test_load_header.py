"""Tests of load headers that are malformed or false."""

import unittest

from bronzeslip.load import load_statement
from bronzeslip.platform import load_header


class LoadHeaderTest(unittest.TestCase):
    def test_usable_headers(self):
        for text, values in (
            ("3,1,24", (3, 1, 24, None)),
            ("3, 1, 24, 130", (3, 1, 24, 1.3)),
            ("0,0,8,250,future", (0, 0, 8, 2.5)),
        ):
            with self.subTest(text):
                self.assertEqual(
                    load_header.parse(text, 7.0),
                    load_statement.LoadStatement(*values, 7.0),
                )

    def test_malformed_headers(self):
        for text in (
            "",
            "3",
            "3,1",
            "3,1,",
            "3,-1,24",
            "3,1,24,",
            "3,1,24,0",
            "3,1,24,fast",
            "3,1,24,nan",
            "3,1,24,1e9",
            "3,1,24,-100",
            "9" * 5000 + ",1,24",
            "\u0663,1,24",
        ):
            with self.subTest(text[:20]):
                self.assertIsNone(load_header.parse(text, 7.0))

    # Guards against an endpoint that attracts all requests by a false pace, or
    # gets none again.
    def test_false_paces_are_bounded(self):
        for text, pace in (("0,0,8,1", 0.5), ("0,0,8,99999999", 5.0)):
            with self.subTest(text):
                self.assertEqual(load_header.parse(text, 7.0).pace, pace)


if __name__ == "__main__":
    unittest.main()
