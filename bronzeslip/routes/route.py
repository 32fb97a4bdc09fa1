"""One route of the configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.routes import kind


class WeightedService(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's requests.

    Attributes:
        service_name: The service.
        weight: Share of the requests, relative to the other weights.
    """

    service_name: ids.ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Requests that are treated alike.

    Attributes:
        name: Name of the route.
        host: Host that the route belongs to, in lower case.
        path_prefix: Start of the paths that it takes.
        kind: What may be repeated.
        timeout_s: Longest time that a request is kept waiting, in seconds.
        objective_s: Time of an answer that is on time, in seconds.
        priority: Rank, 0 first.
        services: Services that it is split over.
        max_attempts: Most endpoints that one request may be sent to.
        is_public: Whether it is served without a key.
        is_generation: Whether its requests are generations of a model.
        gap_objective_s: Longest pause between events that is on time.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    kind: kind.RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_generation: bool = False
    gap_objective_s: float | None = None
