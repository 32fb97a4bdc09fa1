"""Tests of the progress of a configuration rollout."""

import unittest

from bronzeslip.cli import progress
from bronzeslip.spread import status


def _status(numbers, unreported=0):
    domain = status.DomainStatus("brum-1", numbers, (), unreported)
    return status.SpreadStatus(max(numbers), False, (domain,))


class RolloutProgressTest(unittest.TestCase):
    def test_counts_processes_at_the_number_or_above(self):
        rollout = progress.RolloutProgress(5)
        self.assertFalse(rollout.update(_status({4: 2, 5: 1})))
        self.assertEqual(rollout.text, "1 of 3 processes have number 5")
        self.assertTrue(rollout.update(_status({5: 1, 6: 2})))

    def test_unreported_processes_are_waited_for(self):
        rollout = progress.RolloutProgress(5)
        self.assertFalse(rollout.update(_status({5: 3}, unreported=1)))
        self.assertEqual(rollout.text, "3 of 4 processes have number 5")

    def test_no_processes_is_not_in_force_everywhere(self):
        empty = status.SpreadStatus(5, True, ())
        self.assertFalse(progress.RolloutProgress(5).update(empty))


if __name__ == "__main__":
    unittest.main()
