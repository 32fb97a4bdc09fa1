"""Tests of the gateway's metrics."""

import unittest
from unittest import mock

import aioprometheus

from bronzeslip.configuration import in_force
from bronzeslip.configuration import record
from bronzeslip.configuration import workspace
from bronzeslip.metrics import gateway_metrics
from bronzeslip.metrics import outcome
from bronzeslip.metrics import request_labels
from bronzeslip.metrics import token_times

_LABELS = request_labels.RequestLabels("drafts", workspace.WorkspaceClass.DRAFT)
_SERIES = 'service="drafts",workspace_class="draft"'


def _render(metrics):
    content, _ = aioprometheus.render(metrics.registry, [])
    lines = [line for line in content.decode().splitlines() if line[0] != "#"]
    return dict(line.rsplit(" ", 1) for line in lines)


def _token_times_at(*arrivals):
    """Returns token times of (arrival in seconds, token count) pairs."""
    times = token_times.TokenTimes(0.0)
    for at_s, count in arrivals:
        with mock.patch.object(
            token_times.time, "monotonic", return_value=at_s
        ):
            times.add(count)
    return times


class TokenTimesTest(unittest.TestCase):
    def test_first_token_and_gaps(self):
        times = _token_times_at((0.5, 1), (0.52, 1), (0.62, 1))
        self.assertEqual(times.first_s, 0.5)
        self.assertAlmostEqual(times.gap_sum_s, 0.12)
        self.assertEqual(sum(times.gap_counts), 2)
        self.assertEqual(times.stall_s, 0)

    def test_tokens_that_arrive_together(self):
        times = _token_times_at((0.5, 4), (0.6, 3))
        self.assertEqual(sum(times.gap_counts), 6)
        self.assertEqual(times.gap_counts[0], 5)

    def test_stall_is_the_time_beyond_the_threshold(self):
        times = _token_times_at((0.0, 1), (1.25, 1), (1.45, 1), (3.70, 1))
        self.assertAlmostEqual(times.stall_s, 3.0)


class GatewayMetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = gateway_metrics.GatewayMetrics()

    def test_answer_is_shown_by_service_class_and_outcome(self):
        for _ in range(2):
            self.metrics.record_answer(
                _LABELS,
                outcome.RequestOutcome.COMPLETED,
                2.0,
                _token_times_at((0.3, 2), (0.31, 1), (1.31, 1)),
            )
        shown = _render(self.metrics)
        series = f'outcome="completed",{_SERIES}'
        for name, count, total in (
            ("first_token", 2, 0.6),
            ("between_tokens", 6, 2.02),
            ("stall", 2, 1.5),
            ("answer", 2, 4.0),
        ):
            with self.subTest(name=name):
                full = f"bronzeslip_{name}_seconds"
                self.assertEqual(
                    float(shown[f"{full}_count{{{series}}}"]), count
                )
                self.assertAlmostEqual(
                    float(shown[f"{full}_sum{{{series}}}"]), total
                )
        bucket = "bronzeslip_between_tokens_seconds_bucket"
        at = {
            bound: float(shown[f'{bucket}{{le="{bound}",{series}}}'])
            for bound in ("0.005", "0.01", "0.02", "0.5", "1.0", "+Inf")
        }
        self.assertEqual(at["0.005"], 2)
        self.assertEqual(at["0.02"], 4)
        self.assertEqual(at["0.5"], 4)
        self.assertEqual(at["+Inf"], 6)

    def test_answer_without_tokens_has_no_token_times(self):
        self.metrics.record_answer(
            _LABELS, outcome.RequestOutcome.REFUSED, 0.1, _token_times_at()
        )
        shown = _render(self.metrics)
        self.assertFalse([k for k in shown if "first_token" in k])

    def test_counters(self):
        self.metrics.count_refusal(_LABELS, "not-run")
        self.metrics.count_retry(_LABELS)
        self.metrics.count_resumes_and_duplicates(_LABELS, 2, 7)
        self.metrics.count_resumes_and_duplicates(_LABELS, 0, 0)
        self.metrics.count_platform_call("GET /watch", "200")
        shown = _render(self.metrics)
        for name, value in (
            (f'refusals_total{{reason="not-run",{_SERIES}}}', 1),
            (f"retries_total{{{_SERIES}}}", 1),
            (f"resumes_total{{{_SERIES}}}", 2),
            (f"duplicate_tokens_total{{{_SERIES}}}", 7),
            ('platform_calls_total{kind="GET /watch",result="200"}', 1),
            ("configuration_number", -1),
        ):
            with self.subTest(name=name):
                self.assertEqual(float(shown[f"bronzeslip_{name}"]), value)

    def test_service_name_is_escaped(self):
        labels = request_labels.RequestLabels(
            'a"b\\c\nd', workspace.WorkspaceClass.DRAFT
        )
        self.metrics.count_retry(labels)
        content, _ = aioprometheus.render(self.metrics.registry, [])
        self.assertIn(b'service="a\\"b\\\\c\\nd"', content)


class ConfigurationNumberTest(unittest.IsolatedAsyncioTestCase):
    async def test_gauge_follows_the_number_in_force(self):
        metrics = gateway_metrics.GatewayMetrics()
        active_configuration = in_force.ActiveConfiguration()
        metrics.track_configuration_number(active_configuration)
        await active_configuration.activate(record.EMPTY)
        self.assertEqual(
            _render(metrics)["bronzeslip_configuration_number"], "0"
        )


if __name__ == "__main__":
    unittest.main()
