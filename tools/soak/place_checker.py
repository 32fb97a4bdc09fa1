"""Checks that requests keep to regions, evacuations and cold limits."""

import bisect
from collections.abc import Iterator
from collections.abc import Sequence

from tools import entry_configuration
from tools.soak import disturbance
from tools.soak import endpoint_record
from tools.soak import invariant
from tools.soak import place_demand
from tools.soak import request_result
from tools.soak import violation

# Time in which all gateways learn that an endpoint has become cold.
COLD_CONTACT_S = 2.0
# A gateway that the store rejected may learn of an evacuation this much later.
_EXTENSION_S = 6.0
_WINDOW_S = 1.0


def check(
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
    disturbances: Sequence[disturbance.Disturbance],
    demands: Sequence[place_demand.PlaceDemand],
) -> Iterator[violation.Violation]:
    """Yields every violation.

    Args:
        record: Record of one incarnation of an endpoint.
        sent: Results by request id.
        disturbances: Disturbances that excuse gateways.
        demands: Evacuations and times in which endpoints were cold.
    """
    yield from _check_regions(record, sent)
    for demand in demands:
        if (demand.kind, demand.name) == (
            place_demand.DemandKind.EVACUATION,
            record.zone,
        ):
            yield from _check_evacuation(record, sent, disturbances, demand)
        elif (demand.kind, demand.name) == (
            place_demand.DemandKind.COLD,
            record.endpoint_id,
        ):
            yield from _check_cold(record, sent, disturbances, demand)


def _check_regions(
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
) -> Iterator[violation.Violation]:
    region = entry_configuration.REGION_BY_ZONE.get(record.zone, "")
    for arrival in record.arrivals:
        result = sent.get(arrival.request_id)
        if result is None or result.allowed_region in ("", region):
            continue
        yield violation.Violation(
            invariant.Invariant.REGIONS_ARE_KEPT,
            arrival.request_id,
            f"{record.endpoint_id} is in {region}, "
            f"allowed is {result.allowed_region}",
        )


def _check_evacuation(
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
    disturbances: Sequence[disturbance.Disturbance],
    demand: place_demand.PlaceDemand,
) -> Iterator[violation.Violation]:
    bound_s = demand.started_s + entry_configuration.EVACUATION_S
    for arrival in record.arrivals:
        result = sent.get(arrival.request_id)
        if result is None or not bound_s < arrival.time_s < demand.ended_s:
            continue
        if _is_excused(
            record,
            result,
            disturbances,
            demand.started_s - _EXTENSION_S,
            arrival.time_s,
        ):
            continue
        yield violation.Violation(
            invariant.Invariant.EVACUATIONS_ARE_KEPT,
            arrival.request_id,
            f"{record.endpoint_id}, {arrival.time_s - demand.started_s:.2f} s "
            f"after {demand.name} was evacuated, by {result.gateway}",
        )


def _check_cold(
    record: endpoint_record.EndpointRecord,
    sent: dict[str, request_result.RequestResult],
    disturbances: Sequence[disturbance.Disturbance],
    demand: place_demand.PlaceDemand,
) -> Iterator[violation.Violation]:
    from_s = demand.started_s + COLD_CONTACT_S
    arrivals_s = sorted(
        arrival.time_s
        for arrival in record.arrivals
        if from_s <= arrival.time_s < demand.ended_s
        and arrival.request_id in sent
        and not _is_excused(
            record,
            sent[arrival.request_id],
            disturbances,
            demand.started_s,
            arrival.time_s,
        )
    )
    allowed = (
        entry_configuration.COLD_FACTOR * entry_configuration.COLD_PER_S
        + entry_configuration.COLD_SLACK
    )
    for index, first_s in enumerate(arrivals_s):
        count = bisect.bisect_left(arrivals_s, first_s + _WINDOW_S) - index
        if count > allowed:
            yield violation.Violation(
                invariant.Invariant.COLD_LIMITS_ARE_KEPT,
                "",
                f"{record.endpoint_id}: {count} requests in a second, "
                f"{first_s - demand.started_s:.2f} s after it became cold",
            )
            return


def _is_excused(
    record: endpoint_record.EndpointRecord,
    result: request_result.RequestResult,
    disturbances: Sequence[disturbance.Disturbance],
    from_s: float,
    until_s: float,
) -> bool:
    """Returns whether the gateway, the endpoint or the store was disturbed."""
    names = (
        result.gateway,
        record.endpoint_id,
        disturbance.process_of(record.endpoint_id),
        disturbance.STORE,
        disturbance.link_to_store(result.gateway),
    )
    return any(
        excuse.name in names
        and excuse.started_s < until_s
        and excuse.ended_s > from_s
        for excuse in disturbances
    )
