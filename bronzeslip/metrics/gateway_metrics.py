"""Metrics of the gateway."""

from bronzeslip.metrics import buckets
from bronzeslip.metrics import mergeable_histogram
from bronzeslip.metrics import outcome as outcomes
from bronzeslip.metrics import process_metrics
from bronzeslip.metrics import request_labels
from bronzeslip.metrics import token_times


class GatewayMetrics(process_metrics.ProcessMetrics):
    """Metrics of requests as seen by their callers."""

    def __init__(self) -> None:
        super().__init__()
        self._first_token = self._histogram(
            "first_token", "Time to the first token", buckets.FIRST_TOKEN_S
        )
        self._between_tokens = self._histogram(
            "between_tokens", "Time between tokens", buckets.BETWEEN_TOKENS_S
        )
        self._stall = self._histogram(
            "stall", "Time stalled between tokens", buckets.STALL_S
        )
        self._queue_wait = self._histogram(
            "queue_wait",
            "Time from a dispatch until it runs",
            buckets.QUEUE_WAIT_S,
        )
        self._answer_duration = self._histogram(
            "answer", "Time to the end of the answer", buckets.ANSWER_S
        )
        self._refusals = self._counter(
            "bronzeslip_refusals_total", "Requests refused by reason"
        )
        self._problems = self._counter(
            "bronzeslip_problems_total", "Problem documents sent by code"
        )
        self._retries = self._counter(
            "bronzeslip_retries_total", "Dispatches after the first"
        )
        self._resumes = self._counter(
            "bronzeslip_resumes_total", "Generations resumed"
        )
        self._duplicates = self._counter(
            "bronzeslip_duplicate_tokens_total", "Tokens dropped as duplicates"
        )

    def record_answer(
        self,
        labels: request_labels.RequestLabels,
        outcome: outcomes.RequestOutcome,
        elapsed_s: float,
        times: token_times.TokenTimes,
    ) -> None:
        """Records the duration, outcome and token times of a request."""
        values = labels.to_dict(outcome=outcome.value)
        self._answer_duration.observe(values, elapsed_s)
        if times.first_s is None:
            return
        self._first_token.observe(values, times.first_s)
        self._stall.observe(values, times.stall_s)
        self._between_tokens.merge(values, times.gap_counts, times.gap_sum_s)

    def record_queue_wait(
        self,
        labels: request_labels.RequestLabels,
        outcome: outcomes.RequestOutcome,
        wait_s: float,
    ) -> None:
        """Records the time from dispatch until a request ran or was refused."""
        self._queue_wait.observe(labels.to_dict(outcome=outcome.value), wait_s)

    def count_refusal(
        self, labels: request_labels.RequestLabels, reason: str
    ) -> None:
        """Counts a refused request."""
        self._refusals.inc(labels.to_dict(reason=reason))

    def count_problem(self, code: str) -> None:
        """Counts a problem document that was sent."""
        self._problems.inc({"code": code})

    def count_retry(self, labels: request_labels.RequestLabels) -> None:
        """Counts a dispatch after the first."""
        self._retries.inc(labels.to_dict())

    def count_resumes_and_duplicates(
        self,
        labels: request_labels.RequestLabels,
        resume_count: int,
        duplicate_tokens: int,
    ) -> None:
        """Counts the resumes and duplicate tokens of one generation."""
        if resume_count:
            self._resumes.add(labels.to_dict(), resume_count)
        if duplicate_tokens:
            self._duplicates.add(labels.to_dict(), duplicate_tokens)

    def _histogram(
        self, name: str, help_text: str, bounds: tuple[float, ...]
    ) -> mergeable_histogram.MergeableHistogram:
        return mergeable_histogram.MergeableHistogram(
            f"bronzeslip_{name}_seconds",
            help_text,
            registry=self.registry,
            buckets=bounds,
        )
