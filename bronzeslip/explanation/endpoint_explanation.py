"""View that a gateway has of an endpoint."""

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.explanation import exclusion


class EndpointExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """View that a gateway has of an endpoint, for one request.

    Attributes:
        endpoint_id: Id of the endpoint.
        state: Whether it accepts new requests.
        failure_domain: Failure domain that it is located in.
        region: Region of the failure domain, or None if it is not known.
        report_age_s: Age of its latest report, in seconds, or None.
        running: Number of running requests that it reported, or None.
        waiting: Number of queued requests that it reported, or None.
        in_flight: Number of requests of this gateway in flight there.
        memory_use: Forecast share of its memory in use; 0 for plain services.
        pace: How long work takes there, 1.0 being normal.
        cold_s: Time for which it is cold, in seconds; 0 if it is warm.
        paused_s: Time for which it must not be called, in seconds.
        is_evacuated: Whether its failure domain is evacuated.
        is_unreachable: Whether this gateway does not reach it.
        limit_per_s: Limit that it states, in requests per second, or None.
        denied_s: Time for which permits are denied, in seconds.
        wait_s: Forecast time to process the queued prompts, in seconds.
        cost_s: Cost of sending the request there, in seconds.
        excluded_by: Reasons why this gateway does not select it.
    """

    endpoint_id: ids.EndpointId
    state: endpoint.EndpointState
    failure_domain: ids.FailureDomainName
    region: ids.RegionName | None
    report_age_s: float | None
    running: int | None
    waiting: int | None
    in_flight: int
    memory_use: float
    pace: float
    cold_s: float
    paused_s: float
    is_evacuated: bool
    is_unreachable: bool
    limit_per_s: float | None
    denied_s: float
    wait_s: float
    cost_s: float
    excluded_by: tuple[exclusion.Exclusion, ...]
