"""What one process of an endpoint has observed."""

from collections.abc import Iterable

import msgspec

_ARRIVED = "arrived"
_LEAVING = "leaving"
_PAUSED = "paused"
_LIMITED = "limited"
_UNLIMITED = "unlimited"


class Arrival(msgspec.Struct, frozen=True):
    """Arrival of a request.

    Attributes:
        request_id: Id of the request.
        time_s: Time on the monotonic clock, in seconds.
        pause_s: Pause that the response asked for, in seconds, 0 for none.
    """

    request_id: str
    time_s: float
    pause_s: float = 0.0


class StatedLimit(msgspec.Struct, frozen=True):
    """Response that states a limit on the requests of all gateways.

    Attributes:
        request_id: Id of the request.
        time_s: Time on the monotonic clock, in seconds.
        rate_per_s: Requests per second.
    """

    request_id: str
    time_s: float
    rate_per_s: float


class EndpointRecord(msgspec.Struct, frozen=True):
    """Observations of one incarnation of an endpoint.

    Attributes:
        endpoint_id: Id of the endpoint.
        service: Service of the endpoint.
        arrivals: Requests that arrived, refused ones included.
        leaving: Requests that were told that the endpoint leaves.
        paused: Requests that were refused with a pause.
        limited: Requests whose response stated a limit, in order.
        unlimited_s: Times from which no limit was stated any more.
        zone: Failure domain of the endpoint.
    """

    endpoint_id: str
    service: str
    arrivals: tuple[Arrival, ...]
    leaving: tuple[Arrival, ...]
    paused: tuple[Arrival, ...]
    limited: tuple[StatedLimit, ...] = ()
    unlimited_s: tuple[float, ...] = ()
    zone: str = ""


def parse(
    endpoint_id: str, service: str, lines: Iterable[str], zone: str = ""
) -> EndpointRecord:
    """Creates a record from the lines that an endpoint has printed."""
    by_kind: dict[str, list[Arrival]] = {
        _ARRIVED: [],
        _LEAVING: [],
        _PAUSED: [],
    }
    limited: list[StatedLimit] = []
    unlimited_s: list[float] = []
    for line in lines:
        kind, *fields = line.split(" ")
        if kind == _LIMITED and _is_number(fields[-1]):
            limited.append(
                StatedLimit(fields[0], float(fields[1]), float(fields[2]))
            )
        elif kind == _UNLIMITED:
            unlimited_s.append(float(fields[-1]))
        if kind in by_kind and len(fields) >= 2:
            request_id, *numbers = fields
            by_kind[kind].append(Arrival(request_id, *map(float, numbers)))
    return EndpointRecord(
        endpoint_id,
        service,
        tuple(by_kind[_ARRIVED]),
        tuple(by_kind[_LEAVING]),
        tuple(by_kind[_PAUSED]),
        tuple(limited),
        tuple(unlimited_s),
        zone,
    )


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).isdecimal()
