"""Checks that endpoints receive no more requests than the limits they state."""

from collections.abc import Iterator
from collections.abc import Sequence

from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import request_result
from tools.soak import violation

# Time after the first statement of a limit from which it must be kept.
CONTACT_S = 4.0
_WINDOW_S = 4.0
# A gateway counts from this time after it has passed on a statement.
_TOLD_AFTER_S = 0.5
_ALLOWED_FACTOR = 1.5
_ALLOWED_REQUESTS = 5


def check(
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
    disturbances: Sequence[disturbance.Disturbance],
) -> Iterator[violation.Violation]:
    """Yields a violation for each limit that was exceeded.

    Counted are arrivals from gateways that passed on a statement of the same
    limit half a second before or earlier, in every window of four seconds that
    begins `CONTACT_S` after the first statement or later.

    Args:
        record: Record of one incarnation of an endpoint.
        sent: Results by request id.
        disturbances: Disturbances that excuse gateways.
    """
    for started_s, ended_s in _limited_spans(record):
        stated = [
            statement
            for statement in record.limited
            if started_s <= statement.time_s < ended_s
        ]
        counted_s = _counted_arrivals_s(
            record, stated, ended_s, sent, disturbances
        )
        for first_s in counted_s:
            count = sum(
                first_s <= time_s < first_s + _WINDOW_S for time_s in counted_s
            )
            rate_per_s = _highest_rate_per_s(stated, first_s)
            allowed = (
                _ALLOWED_FACTOR * rate_per_s * _WINDOW_S + _ALLOWED_REQUESTS
            )
            if count > allowed:
                yield violation.Violation(
                    invariant.Invariant.LIMITS_ARE_KEPT,
                    "",
                    f"{record.endpoint_id}: {count} requests in "
                    f"{_WINDOW_S:.0f} s for {rate_per_s}/s",
                )
                break


def _highest_rate_per_s(
    stated: Sequence[endpoint_record.StatedLimit], first_s: float
) -> float:
    """Returns the highest limit in force in the window from a time on."""
    earlier = [statement for statement in stated if statement.time_s <= first_s]
    in_window = [
        statement
        for statement in stated
        if first_s < statement.time_s < first_s + _WINDOW_S
    ]
    return max(
        statement.rate_per_s for statement in (*earlier[-1:], *in_window)
    )


def _limited_spans(
    record: endpoint_record.EndpointRecord,
) -> Iterator[tuple[float, float]]:
    """Yields when limits were stated first and no longer."""
    ends_s = sorted(record.unlimited_s)
    started_s = None
    for statement in record.limited:
        if started_s is not None:
            ended_s = next((end for end in ends_s if end > started_s), None)
            if ended_s is None or statement.time_s < ended_s:
                continue
            yield started_s, ended_s
        started_s = statement.time_s
    if started_s is not None:
        yield (
            started_s,
            next((end for end in ends_s if end > started_s), float("inf")),
        )


def _counted_arrivals_s(
    record: endpoint_record.EndpointRecord,
    stated: Sequence[endpoint_record.StatedLimit],
    ended_s: float,
    sent: dict[str, request_result.RequestResult],
    disturbances: Sequence[disturbance.Disturbance],
) -> list[float]:
    told_s: dict[str, float] = {}
    for statement in stated:
        result = sent.get(statement.request_id)
        if result is not None and result.status is not None:
            told_s.setdefault(result.gateway, result.ended_s)
    from_s = stated[0].time_s + CONTACT_S
    counted_s = []
    for arrival in record.arrivals:
        result = sent.get(arrival.request_id)
        if result is None or not from_s <= arrival.time_s < ended_s:
            continue
        gateway_told_s = told_s.get(result.gateway, float("inf"))
        if arrival.time_s < gateway_told_s + _TOLD_AFTER_S:
            continue
        if not _is_excused(result.gateway, arrival.time_s, disturbances):
            counted_s.append(arrival.time_s)
    return counted_s


def _is_excused(
    gateway: str,
    arrived_s: float,
    disturbances: Sequence[disturbance.Disturbance],
) -> bool:
    """Returns whether a gateway was stopped, paused or cut off before."""
    names = (gateway, disturbance.link_to_store(gateway))
    return any(
        excuse.name in names
        and excuse.started_s < arrived_s < excuse.ended_s + CONTACT_S
        for excuse in disturbances
    )
