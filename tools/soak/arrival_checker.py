"""Checks which requests reached endpoints, and how often."""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from tools import entry_configuration
from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import limit_checker
from tools.soak import place_checker
from tools.soak import place_demand
from tools.soak import poison_prompts
from tools.soak import request_result
from tools.soak import violation

# Time after the start of a pause in which requests under way may arrive, and
# the number of requests that may arrive later.
_PAUSE_SLACK_S = 0.5
_MAX_ARRIVALS_IN_PAUSE = 2
# Crashes that a part of prompts may cause, and the number of requests with it
# that may reach engines once all gateways know.
_POISON_CRASHES = 5
_MAX_LATER_POISON_ARRIVALS = 3


class RetryLimits(msgspec.Struct, frozen=True):
    """Limit on the retries of all gateways together.

    Attributes:
        ratio: Retries allowed per request.
        slack: Further retries allowed per window.
        window_s: Length of a window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


class Observations(msgspec.Struct, frozen=True):
    """What a trial has shown about arrivals.

    Attributes:
        results: Results, one for each request that was sent.
        records: Records of all incarnations of all endpoints.
        disturbances: Disturbances that excuse gateways.
        retry_limits: Limits of the deployment.
        demands: Evacuations and times in which endpoints were cold.
    """

    results: Sequence[request_result.RequestResult] = ()
    records: Sequence[endpoint_record.EndpointRecord] = ()
    disturbances: Sequence[disturbance.Disturbance] = ()
    retry_limits: RetryLimits = RetryLimits()
    demands: Sequence[place_demand.PlaceDemand] = ()


def check(observed: Observations) -> Iterator[violation.Violation]:
    """Yields every violation."""
    sent = {result.request_id: result for result in observed.results}
    yield from _check_retries(observed, sent)
    yield from _check_poison_prompts(observed, sent)
    for record in observed.records:
        yield from _check_leaving(observed, record, sent)
        yield from _check_pauses(observed, record, sent)
        yield from limit_checker.check(record, sent, observed.disturbances)
        yield from place_checker.check(
            record, sent, observed.disturbances, observed.demands
        )


def _check_retries(
    observed: Observations, sent: dict[str, request_result.RequestResult]
) -> Iterator[violation.Violation]:
    limits = observed.retry_limits
    for service in {record.service for record in observed.records}:
        arrivals = sorted(
            (arrival.time_s, arrival.request_id)
            for record in observed.records
            if record.service == service
            for arrival in record.arrivals
        )
        counts: collections.Counter[str] = collections.Counter()
        retries_s = []
        for time_s, request_id in arrivals:
            counts[request_id] += 1
            if counts[request_id] > 1:
                retries_s.append(time_s)
        requests_s = sorted(
            result.sent_s
            for result in sent.values()
            if entry_configuration.SERVICE_BY_PATH[result.kind.value] == service
        )
        for start_s in retries_s:
            retries = _count(retries_s, start_s, limits.window_s)
            requests = max(
                _count(requests_s, start_s - offset_s, limits.window_s)
                for offset_s in (0.0, limits.window_s / 2, limits.window_s)
            )
            if retries > limits.ratio * requests + limits.slack:
                yield violation.Violation(
                    invariant.Invariant.RETRIES_WITHIN_BUDGET,
                    "",
                    f"{service}: {retries} retries of {requests} requests",
                )
                break


def _check_poison_prompts(
    observed: Observations, sent: dict[str, request_result.RequestResult]
) -> Iterator[violation.Violation]:
    arrivals_by_part: dict[str, list[endpoint_record.Arrival]] = {}
    for record in observed.records:
        for arrival in record.arrivals:
            result = sent.get(arrival.request_id)
            if result is not None and result.poison_part:
                arrivals_by_part.setdefault(result.poison_part, []).append(
                    arrival
                )
    for part, arrivals in arrivals_by_part.items():
        arrivals.sort(key=lambda arrival: arrival.time_s)
        if len(arrivals) < _POISON_CRASHES:
            continue
        known_s = (
            arrivals[_POISON_CRASHES - 1].time_s + poison_prompts.CONTACT_S
        )
        later = [
            arrival.request_id
            for arrival in arrivals
            if sent[arrival.request_id].sent_s > known_s
            and not _is_out_of_touch(observed, sent[arrival.request_id])
        ]
        if len(later) > _MAX_LATER_POISON_ARRIVALS:
            yield violation.Violation(
                invariant.Invariant.POISON_PROMPTS_ARE_REFUSED,
                later[0],
                f"{part}: {len(later)} requests of {len(arrivals)} came late",
            )


def _is_out_of_touch(
    observed: Observations, result: request_result.RequestResult
) -> bool:
    """Returns whether the gateway may not have heard of the crashes."""
    names = (
        result.gateway,
        disturbance.STORE,
        disturbance.link_to_store(result.gateway),
    )
    return any(
        excuse.name in names
        and excuse.started_s < result.sent_s
        and excuse.ended_s > result.sent_s - poison_prompts.CONTACT_S
        for excuse in observed.disturbances
    )


def _check_leaving(
    observed: Observations,
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
) -> Iterator[violation.Violation]:
    first_told_s: dict[str, float] = {}
    for told in record.leaving:
        result = sent.get(told.request_id)
        if result is not None and result.status is not None:
            first_told_s.setdefault(result.gateway, result.ended_s)
    for arrival in record.arrivals:
        result = sent.get(arrival.request_id)
        if result is None or result.gateway not in first_told_s:
            continue
        told_s = first_told_s[result.gateway]
        is_late = result.sent_s > told_s + entry_configuration.DRAIN_S
        if is_late and not _is_excused(
            observed, record, result.gateway, told_s, arrival.time_s
        ):
            yield violation.Violation(
                invariant.Invariant.NO_WORK_FOR_LEAVING_ENDPOINTS,
                arrival.request_id,
                f"{record.endpoint_id}, {result.sent_s - told_s:.2f} s later",
            )


def _check_pauses(
    observed: Observations,
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
) -> Iterator[violation.Violation]:
    for refused in record.paused:
        if refused.request_id not in sent:
            continue
        gateway = sent[refused.request_id].gateway
        starts_s = refused.time_s + _PAUSE_SLACK_S
        ends_s = refused.time_s + refused.pause_s
        arrived = [
            arrival
            for arrival in record.arrivals
            if starts_s <= arrival.time_s < ends_s
            and arrival.request_id in sent
            and sent[arrival.request_id].gateway == gateway
        ]
        if len(arrived) > _MAX_ARRIVALS_IN_PAUSE and not _is_excused(
            observed, record, gateway, refused.time_s, ends_s
        ):
            yield violation.Violation(
                invariant.Invariant.PAUSES_ARE_KEPT,
                refused.request_id,
                f"{record.endpoint_id}, {len(arrived)} requests",
            )


def _is_excused(
    observed: Observations,
    record: endpoint_record.EndpointRecord,
    gateway: str,
    from_s: float,
    until_s: float,
) -> bool:
    return any(
        excuse.name in (gateway, record.endpoint_id)
        and excuse.started_s < until_s
        and excuse.ended_s > from_s
        for excuse in observed.disturbances
    )


def _count(sorted_times_s: list[float], start_s: float, length_s: float) -> int:
    first = bisect.bisect_left(sorted_times_s, start_s)
    return bisect.bisect_left(sorted_times_s, start_s + length_s) - first
