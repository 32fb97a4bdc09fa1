"""Progress of a number into force."""

import unittest

from bronzeslip.cli import progress
from bronzeslip.spread import status


def _status(numbers, unreported=0):
    domain = status.DomainStatus("brum-1", numbers, (), unreported)
    return status.SpreadStatus(max(numbers), False, (domain,))


class InForceProgressTest(unittest.TestCase):
    def test_counts_processes_at_the_number_or_above(self):
        waiting = progress.InForceProgress(5)
        self.assertFalse(waiting.take(_status({4: 2, 5: 1})))
        self.assertEqual(waiting.text, "1 of 3 processes have number 5")
        self.assertTrue(waiting.take(_status({5: 1, 6: 2})))

    def test_processes_not_heard_from_are_waited_for(self):
        waiting = progress.InForceProgress(5)
        self.assertFalse(waiting.take(_status({5: 3}, unreported=1)))
        self.assertEqual(waiting.text, "3 of 4 processes have number 5")

    def test_nobody_is_not_everybody(self):
        empty = status.SpreadStatus(5, True, ())
        self.assertFalse(progress.InForceProgress(5).take(empty))


if __name__ == "__main__":
    unittest.main()
