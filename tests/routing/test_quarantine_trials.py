"""Tests of bronzeslip.routing.quarantine_trials."""

import unittest

from bronzeslip.membership import rendezvous
from bronzeslip.routing import poison_parts
from bronzeslip.routing import quarantine_trials

_POISON = poison_parts.PoisonParts(frozenset("x"), frozenset(("c1", "c2")))
_OTHER = poison_parts.PoisonParts(frozenset("y"), frozenset(("c3", "c4")))
_TOGETHER_UNIX_S = (100, 100, 101)
_SPREAD_UNIX_S = (100, 102, 104)


class QuarantineTrialsTest(unittest.TestCase):
    def setUp(self):
        self.now_unix_s = 1000.0

    def _create(self, is_chosen=lambda _: True):
        return quarantine_trials.QuarantineTrials(
            is_chosen, lambda: self.now_unix_s
        )

    def test_trials_come_ever_later_after_the_last_crash(self):
        trials = self._create()
        taken_s = []
        for elapsed_s in range(200):
            self.now_unix_s = _TOGETHER_UNIX_S[-1] + elapsed_s
            if trials.take(_POISON, _TOGETHER_UNIX_S):
                taken_s.append(elapsed_s)
        self.assertEqual(taken_s, [2, 8, 32, 128])

    def test_trials_of_other_parts_count_by_themselves(self):
        trials = self._create()
        self.now_unix_s = 110.0
        self.assertTrue(trials.take(_POISON, _TOGETHER_UNIX_S))
        self.assertTrue(trials.take(_OTHER, _TOGETHER_UNIX_S))
        self.assertFalse(trials.take(_POISON, _TOGETHER_UNIX_S))

    # Guards against trials without end of prompts that engines turn away.
    def test_few_trials_come_after_the_fifth_crash_however_they_end(self):
        trials = self._create()
        taken = 0
        for elapsed_s in range(4, 100):
            self.now_unix_s = 100 + elapsed_s
            taken += trials.take(_POISON, [100] * 5)
        self.assertLessEqual(taken, 3)

    def test_none_may_run_once_crashes_are_spread_over_time(self):
        trials = self._create()
        self.assertTrue(trials.are_left(_SPREAD_UNIX_S[:2]))
        self.assertFalse(trials.are_left(_SPREAD_UNIX_S))
        self.assertFalse(trials.take(_POISON, _SPREAD_UNIX_S))

    def test_engines_that_fail_together_count_once(self):
        self.assertTrue(self._create().are_left([100] * 50 + [101] * 50))

    def test_one_of_many_gateways_tries_a_request(self):
        names = [f"front-{number}" for number in range(50)]

        def create_for(name):
            return self._create(
                lambda key: rendezvous.ranked(names, str, key)[0] == name
            )

        gateways = [create_for(name) for name in names]
        for elapsed_s in (2, 8, 32, 128):
            self.now_unix_s = _TOGETHER_UNIX_S[-1] + elapsed_s
            taken = [g.take(_POISON, _TOGETHER_UNIX_S) for g in gateways]
            self.assertEqual(sum(taken), 1)


if __name__ == "__main__":
    unittest.main()
