"""Summary figures of a trial."""

from collections.abc import Iterable
import math

from hdrh import histogram
import msgspec

from bench import outcome
from bench import trial
from bench import workload

_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000


class Summary(msgspec.Struct, frozen=True):
    """Figures of a trial, measured at the callers.

    Attributes:
        stall_s: Mean time a request waited for tokens in excess of the
            duration of a step with a full batch, in seconds.
        check_stall_s: As stall_s, for short checks only.
        draft_stall_s: As stall_s, for long drafts only.
        preemptions: Number of preemptions on all engines.
        gap_p50_ms: Median of the time between tokens.
        gap_p95_ms: 95th percentile of the time between tokens.
        gap_p99_ms: 99th percentile of the time between tokens.
        first_p50_ms: Median of the time to the first token.
        first_p95_ms: 95th percentile of the time to the first token.
        first_p99_ms: 99th percentile of the time to the first token.
        drafts_finished_ratio: Ratio of drafts that finished.
        rush_slowdown_p50: Median of the duration of a draft sent in the
            rush, relative to its duration on an idle engine.
        rush_slowdown_p95: 95th percentile of the same ratio.
        refusals: Number of refusals.
        abandoned: Number of requests that did not finish.
        lost: Number of unfinished requests whose generation was lost.
        prefix_hit_ratio: Ratio of prompt tokens found in a prefix cache.
        cross_region_mb: Megabytes sent between regions.
    """

    stall_s: float
    check_stall_s: float
    draft_stall_s: float
    preemptions: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    drafts_finished_ratio: float
    rush_slowdown_p50: float
    rush_slowdown_p95: float
    refusals: float
    abandoned: float
    lost: float
    prefix_hit_ratio: float
    cross_region_mb: float


def summarize(
    result: trial.TrialResult, settings: workload.WorkloadSettings
) -> Summary:
    """Computes the figures of a trial."""
    outcomes = result.outcomes
    gaps = _histogram(gap for request in outcomes for gap in request.gaps_s)
    firsts = _histogram(
        request.first_token_s - request.arrival.at_s
        for request in outcomes
        if request.first_token_s is not None
    )
    drafts = [request for request in outcomes if request.arrival.is_draft]
    checks = [request for request in outcomes if not request.arrival.is_draft]
    slowdowns = sorted(
        _slowdown(request)
        for request in drafts
        if _is_in_rush(request, settings)
    )
    prompt_tokens = sum(request.prompt_tokens for request in outcomes)
    return Summary(
        stall_s=_mean(_stall_s(request) for request in outcomes),
        check_stall_s=_mean(_stall_s(request) for request in checks),
        draft_stall_s=_mean(_stall_s(request) for request in drafts),
        preemptions=result.preemption_count,
        gap_p50_ms=_percentile_ms(gaps, 50),
        gap_p95_ms=_percentile_ms(gaps, 95),
        gap_p99_ms=_percentile_ms(gaps, 99),
        first_p50_ms=_percentile_ms(firsts, 50),
        first_p95_ms=_percentile_ms(firsts, 95),
        first_p99_ms=_percentile_ms(firsts, 99),
        drafts_finished_ratio=_mean(
            request.finished_s is not None for request in drafts
        ),
        rush_slowdown_p50=_quantile(slowdowns, 0.5),
        rush_slowdown_p95=_quantile(slowdowns, 0.95),
        refusals=sum(request.refused_count for request in outcomes),
        abandoned=sum(request.finished_s is None for request in outcomes),
        lost=sum(request.lost for request in outcomes),
        prefix_hit_ratio=sum(request.cached_tokens for request in outcomes)
        / max(prompt_tokens, 1),
        cross_region_mb=sum(request.cross_region_bytes for request in outcomes)
        / 1e6,
    )


def _stall_s(request: outcome.Outcome) -> float:
    arrival = request.arrival
    if request.finished_s is None:
        return arrival.timeout_s
    parameters = trial.ENGINE_PARAMETERS
    full_step_s = parameters.step_base_s + parameters.step_per_sequence_s * (
        parameters.max_batch - 1
    )
    first_s = request.first_token_s - arrival.at_s - _idle_first_s(arrival)
    return max(first_s, 0) + sum(
        gap - full_step_s for gap in request.gaps_s if gap > full_step_s
    )


def _idle_first_s(arrival: workload.Arrival) -> float:
    parameters = trial.ENGINE_PARAMETERS
    tokens = arrival.prompt.count(" ") + 1
    steps = math.ceil(tokens / parameters.prefill_tokens_per_step)
    return (
        steps * parameters.step_base_s
        + tokens * parameters.step_per_prefill_token_s
    )


def _slowdown(request: outcome.Outcome) -> float:
    if request.finished_s is None:
        return math.inf
    arrival = request.arrival
    idle_s = _idle_first_s(arrival) + (
        (arrival.length_tokens - 1) * trial.ENGINE_PARAMETERS.step_base_s
    )
    return (request.finished_s - arrival.at_s) / idle_s


def _is_in_rush(
    request: outcome.Outcome, settings: workload.WorkloadSettings
) -> bool:
    return settings.rush_start_s <= request.arrival.at_s < settings.rush_end_s


def _histogram(values_s: Iterable[float]) -> histogram.HdrHistogram:
    recorded = histogram.HdrHistogram(
        1, _MAX_MS * _US_PER_MS, _SIGNIFICANT_DIGITS
    )
    counts: dict[int, int] = {}
    for value_s in values_s:
        rounded = int(value_s * 1e4) * 100
        counts[rounded] = counts.get(rounded, 0) + 1
    for value, count in counts.items():
        recorded.record_value(max(value, 1), count)
    return recorded


def _percentile_ms(
    recorded: histogram.HdrHistogram, percentile: float
) -> float:
    return recorded.get_value_at_percentile(percentile) / _US_PER_MS


def _mean(values: Iterable[float]) -> float:
    values_list = list(values)
    return sum(values_list) / max(len(values_list), 1)


def _quantile(sorted_values: list[float], quantile: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(int(quantile * len(sorted_values)), len(sorted_values) - 1)
    ]
