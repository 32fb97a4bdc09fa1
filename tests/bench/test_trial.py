"""Tests of the policy experiment."""

import dataclasses
import unittest

from bench import policy_variant
from bench import summary
from bench import trial
from bench import virtual_loop
from bench import workload
from tools import shapes

_SHORT = dataclasses.replace(
    workload.WorkloadSettings(),
    duration_s=2.0,
    rush_start_s=0.5,
    rush_end_s=1.5,
)


def _run(chosen, seed=1):
    result = virtual_loop.run(trial.run(chosen, shapes.MIDLANDS, _SHORT, seed))
    return summary.summarize(result, _SHORT)


class TrialTest(unittest.TestCase):
    def test_same_seed_gives_same_figures(self):
        chosen = policy_variant.BASELINES[1]
        self.assertEqual(_run(chosen), _run(chosen))
        self.assertNotEqual(_run(chosen), _run(chosen, seed=2))

    def test_every_request_ends(self):
        for chosen in policy_variant.BASELINES:
            with self.subTest(chosen.name):
                figures = _run(chosen)
                self.assertEqual(figures.abandoned, 0)
                self.assertEqual(figures.drafts_finished_ratio, 1)


if __name__ == "__main__":
    unittest.main()
