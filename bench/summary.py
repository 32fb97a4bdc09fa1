"""Figures of one trial."""

from collections.abc import Iterable
import math

from hdrh import histogram
import msgspec

from bench import morning
from bench import outcome
from bench import trial

_MAX_MS = 600_000
_DIGITS = 3
_MICROS_PER_MS = 1000


class Summary(msgspec.Struct, frozen=True):
    """Figures of one trial; times as a caller sees them.

    Attributes:
        stall_s: Mean time a request waited with no token flowing beyond
            a step of a full batch, in seconds.
        check_stall_s: The same over short checks.
        draft_stall_s: The same over long drafts.
        preemptions: Preemptions at all engines.
        gap_p50_ms: Time between tokens at the median.
        gap_p95_ms: Time between tokens at the 95th percentile.
        gap_p99_ms: Time between tokens at the 99th percentile.
        first_p50_ms: Time to the first token at the median.
        first_p95_ms: Time to the first token at the 95th percentile.
        first_p99_ms: Time to the first token at the 99th percentile.
        drafts_finished_ratio: Share of drafts that came whole.
        rush_slowdown_p50: Time of a draft of the rush over its time on
            an idle engine, at the median.
        rush_slowdown_p95: The same at the 95th percentile.
        refusals: Refusals that callers got.
        abandoned: Requests that never came whole.
        lost: Those of them that broke off.
        prefix_hit_ratio: Share of prompt tokens found cached.
        cross_region_mb: Megabytes between regions.
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
    result: trial.TrialResult, settings: morning.MorningSettings
) -> Summary:
    """Works the figures of a trial out."""
    outcomes = result.outcomes
    gaps = _histogram(gap for one in outcomes for gap in one.gaps_s)
    firsts = _histogram(
        one.first_token_s - one.arrival.at_s
        for one in outcomes
        if one.first_token_s is not None
    )
    drafts = [one for one in outcomes if one.arrival.is_draft]
    checks = [one for one in outcomes if not one.arrival.is_draft]
    slowdowns = sorted(
        _slowdown(one) for one in drafts if _is_in_rush(one, settings)
    )
    prompt_tokens = sum(one.prompt_tokens for one in outcomes)
    return Summary(
        stall_s=_mean(_stall_s(one) for one in outcomes),
        check_stall_s=_mean(_stall_s(one) for one in checks),
        draft_stall_s=_mean(_stall_s(one) for one in drafts),
        preemptions=result.preemption_count,
        gap_p50_ms=_at(gaps, 50),
        gap_p95_ms=_at(gaps, 95),
        gap_p99_ms=_at(gaps, 99),
        first_p50_ms=_at(firsts, 50),
        first_p95_ms=_at(firsts, 95),
        first_p99_ms=_at(firsts, 99),
        drafts_finished_ratio=_mean(
            one.finished_s is not None for one in drafts
        ),
        rush_slowdown_p50=_quantile(slowdowns, 0.5),
        rush_slowdown_p95=_quantile(slowdowns, 0.95),
        refusals=sum(one.refused_count for one in outcomes),
        abandoned=sum(one.finished_s is None for one in outcomes),
        lost=sum(one.lost for one in outcomes),
        prefix_hit_ratio=sum(one.cached_tokens for one in outcomes)
        / max(prompt_tokens, 1),
        cross_region_mb=sum(one.cross_region_bytes for one in outcomes) / 1e6,
    )


def _stall_s(one: outcome.Outcome) -> float:
    arrival = one.arrival
    if one.finished_s is None:
        return arrival.patience_s
    shape = trial.ENGINE_SHAPE
    full_step_s = shape.step_base_s + shape.step_per_sequence_s * (
        shape.max_batch - 1
    )
    first_s = one.first_token_s - arrival.at_s - _idle_first_s(arrival)
    return max(first_s, 0) + sum(
        gap - full_step_s for gap in one.gaps_s if gap > full_step_s
    )


def _idle_first_s(arrival: morning.Arrival) -> float:
    shape = trial.ENGINE_SHAPE
    tokens = arrival.prompt.count(" ") + 1
    steps = math.ceil(tokens / shape.prefill_tokens_per_step)
    return steps * shape.step_base_s + tokens * shape.step_per_prefill_token_s


def _slowdown(one: outcome.Outcome) -> float:
    if one.finished_s is None:
        return math.inf
    arrival = one.arrival
    idle_s = _idle_first_s(arrival) + (
        (arrival.length_tokens - 1) * trial.ENGINE_SHAPE.step_base_s
    )
    return (one.finished_s - arrival.at_s) / idle_s


def _is_in_rush(
    one: outcome.Outcome, settings: morning.MorningSettings
) -> bool:
    return settings.rush_start_s <= one.arrival.at_s < settings.rush_end_s


def _histogram(values_s: Iterable[float]) -> histogram.HdrHistogram:
    counted = histogram.HdrHistogram(1, _MAX_MS * _MICROS_PER_MS, _DIGITS)
    counts: dict[int, int] = {}
    for value_s in values_s:
        rounded = int(value_s * 1e4) * 100
        counts[rounded] = counts.get(rounded, 0) + 1
    for value, count in counts.items():
        counted.record_value(max(value, 1), count)
    return counted


def _at(counted: histogram.HdrHistogram, percentile: float) -> float:
    return counted.get_value_at_percentile(percentile) / _MICROS_PER_MS


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / max(len(listed), 1)


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]
