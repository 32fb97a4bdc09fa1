"""Tests of bronzeslip.routing.poison_parts."""

import unittest

from bronzeslip.routing import poison_parts


def _crashes(**prompts_by_crash):
    """Creates evidence; each prompt is a string with a letter for each part."""
    return {
        crash_id: [frozenset(prompt) for prompt in prompts.split()]
        for crash_id, prompts in prompts_by_crash.items()
    }


class PoisonPartsTest(unittest.TestCase):
    def _assert_found(self, crashes, *expected):
        found = ["".join(sorted(d.parts)) for d in poison_parts.find(crashes)]
        self.assertEqual(sorted(found), sorted(expected))

    def test_part_of_two_crashes_is_found(self):
        self._assert_found(_crashes(one="ax", two="bx"), "x")

    def test_prompts_of_one_crash_show_nothing(self):
        self._assert_found(_crashes(one="ax bx cx"))

    def test_parts_that_always_come_together_are_one_finding(self):
        self._assert_found(_crashes(one="xy", two="xy", three="xy"), "xy")

    def test_shared_preamble_is_not_found_beside_what_explains_more(self):
        self._assert_found(_crashes(one="pax pb", two="pcx pd"), "px")

    def test_shared_preamble_is_found_if_nothing_else_explains_two_crashes(
        self,
    ):
        self._assert_found(
            _crashes(one="pax", two="pcx", three="pe", four="pf"), "px", "p"
        )

    def test_parts_of_bystanders_are_dropped_once_others_explain_more(self):
        two = _crashes(one="x uvw", two="x uvw")
        self._assert_found(two, "uvw")
        more = _crashes(one="x uvw", two="x uvw", three="x", four="x")
        self._assert_found(more, "x")

    def test_two_poison_parts_are_both_found(self):
        self._assert_found(
            _crashes(one="x", two="y", three="x", four="y"), "x", "y"
        )

    def test_crashes_are_named(self):
        (found,) = poison_parts.find(_crashes(one="x", two="x", three="a"))
        self.assertEqual(found.crash_ids, {"one", "two"})


if __name__ == "__main__":
    unittest.main()
