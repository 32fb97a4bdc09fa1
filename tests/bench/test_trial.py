"""Tests of the policy experiment."""

import dataclasses
import unittest

from bench import policy_variant
from bench import summary
from bench import trial
from bench import virtual_loop
from bench import workload
from tools import shapes

_SHORT_WORKLOAD = dataclasses.replace(
    workload.WorkloadSettings(),
    duration_s=2.0,
    rush_start_s=0.5,
    rush_end_s=1.5,
)


def _run(variant, seed=1):
    result = virtual_loop.run(
        trial.run(variant, shapes.MIDLANDS, _SHORT_WORKLOAD, seed)
    )
    return summary.summarize(result, _SHORT_WORKLOAD)


class TrialTest(unittest.TestCase):
    def test_same_seed_gives_same_figures(self):
        variant = policy_variant.BASELINES[1]
        self.assertEqual(_run(variant), _run(variant))
        self.assertNotEqual(_run(variant), _run(variant, seed=2))

    def test_every_request_ends(self):
        for variant in policy_variant.BASELINES:
            with self.subTest(variant.name):
                figures = _run(variant)
                self.assertEqual(figures.abandoned, 0)
                self.assertEqual(figures.drafts_finished_ratio, 1)


if __name__ == "__main__":
    unittest.main()
