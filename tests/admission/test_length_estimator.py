"""Tests of the output length estimator."""

import random
import unittest

from bronzeslip import ids
from bronzeslip.admission import length_estimator
from bronzeslip.admission import request
from bronzeslip.configuration import workspace


def _request(workspace_id="w", workspace_class=workspace.WorkspaceClass.DRAFT):
    return request.AdmissionRequest(
        ids.GenerationId("g"),
        ids.WorkspaceId(workspace_id),
        ids.ServiceName("s"),
        workspace_class,
        1.0,
        100,
        10_000,
        60.0,
    )


def _observe(estimator, admission_request, length, cancelled_at=None):
    reached = min(length, cancelled_at or length)
    for count in range(reached):
        estimator.add_progress(admission_request, count, count + 1)
    if cancelled_at is None or cancelled_at >= length:
        estimator.add_completion(admission_request, length)


class LengthEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)
        self.estimator = length_estimator.LengthEstimator()

    def test_workspace_without_outputs_follows_its_class(self):
        newcomer = _request("new")
        before = self.estimator.curve(newcomer)
        for _ in range(200):
            _observe(self.estimator, _request("busy"), 20)
        after = self.estimator.curve(newcomer)
        self.assertIsNot(after, before)
        for _ in range(400):
            _observe(self.estimator, _request("busy"), 300)
        self.assertIsNot(self.estimator.curve(newcomer), after)

    def lengths(self, count):
        return [int(self.rng.lognormvariate(5, 0.8)) + 1 for _ in range(count)]

    def test_estimates_median_of_observed_lengths(self):
        admission_request = _request()
        lengths = self.lengths(400)
        for length in lengths:
            _observe(self.estimator, admission_request, length)
        median = self.estimator.curve(admission_request).remaining_quantile(
            0, 0.5
        )
        self.assertAlmostEqual(
            median, sorted(lengths)[200], delta=0.2 * sorted(lengths)[200]
        )

    def test_cancelled_generations_do_not_shorten_the_estimate(self):
        admission_request = _request()
        lengths = self.lengths(800)
        for length in lengths:
            _observe(
                self.estimator,
                admission_request,
                length,
                self.rng.randrange(1, 400),
            )
        median = self.estimator.curve(admission_request).remaining_quantile(
            0, 0.5
        )
        true_median = sorted(lengths)[400]
        self.assertAlmostEqual(median, true_median, delta=0.25 * true_median)

    def test_remaining_length_is_conditional_on_generated_tokens(self):
        admission_request = _request()
        for length in [10] * 90 + [3000] * 10:
            _observe(self.estimator, admission_request, length)
        curve = self.estimator.curve(admission_request)
        self.assertLess(curve.mean_remaining(0, 10_000), 500)
        self.assertGreater(curve.mean_remaining(100, 10_000), 1500)

    def test_unknown_workspace_falls_back_to_class(self):
        for _ in range(100):
            _observe(
                self.estimator,
                _request("a", workspace.WorkspaceClass.INTERACTIVE),
                10,
            )
            _observe(self.estimator, _request("b"), 900)
        short = self.estimator.curve(
            _request("new", workspace.WorkspaceClass.INTERACTIVE)
        )
        long = self.estimator.curve(_request("new"))
        self.assertLess(short.remaining_quantile(0, 0.5), 20)
        self.assertGreater(long.remaining_quantile(0, 0.5), 500)

    def test_length_cut_by_limit_is_censored(self):
        admission_request = _request()
        self.estimator.add_completion(
            admission_request, admission_request.max_tokens
        )
        empty = length_estimator.LengthEstimator()
        self.assertEqual(
            self.estimator.curve(admission_request).remaining_quantile(0, 0.5),
            empty.curve(admission_request).remaining_quantile(0, 0.5),
        )


if __name__ == "__main__":
    unittest.main()
