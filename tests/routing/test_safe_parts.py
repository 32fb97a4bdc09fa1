"""Tests of bronzeslip.routing.safe_parts."""

import unittest

from bronzeslip.routing import safe_parts


class SafePartsTest(unittest.TestCase):
    def setUp(self):
        self.now_unix_s = 100.0
        self.safe = safe_parts.SafeParts(lambda: self.now_unix_s)

    def test_last_proof_counts(self):
        self.safe.add(["a", "b"])
        self.now_unix_s = 200.0
        self.safe.add(["a"])
        self.assertEqual(self.safe.proven_unix_s("a"), 200)
        self.assertEqual(self.safe.proven_unix_s("b"), 100)
        self.assertIsNone(self.safe.proven_unix_s("c"))

    def test_parts_proven_longest_ago_are_forgotten(self):
        for number in range(30_000):
            self.safe.add([f"part-{number}", "popular"])
        self.assertIsNone(self.safe.proven_unix_s("part-0"))
        self.assertIsNotNone(self.safe.proven_unix_s("part-29999"))
        self.assertIsNotNone(self.safe.proven_unix_s("popular"))


if __name__ == "__main__":
    unittest.main()
