"""Route that assigns requests to services."""

import msgspec

from bronzeslip import ids
from bronzeslip.routes import kind


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a fraction of a route's requests.

    Attributes:
        service_name: Name of the service.
        weight: Weight of the service relative to the others of the route.
    """

    service_name: ids.ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Maps the requests of one host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host of the route, in lower case.
        path_prefix: Prefix of the paths that the route matches.
        kind: Retry semantics of its requests.
        timeout_s: Maximum time to serve a request, in seconds.
        objective_s: Latency objective for a response, in seconds.
        priority: Priority of its requests; 0 is the highest.
        services: Services among which its requests are split by weight.
        max_attempts: Maximum number of endpoints tried per request.
        is_public: Whether its requests need no API key.
        is_generation: Whether its requests are model generations.
        is_resumable: Whether a stream may go on at another endpoint after the
            last event that its caller has received.
        gap_objective_s: Objective for the longest pause between events of a
            stream, in seconds, or None.
        permitted_regions: Regions of the endpoints that its requests may be
            sent to, or None if they may be sent anywhere.
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
    is_resumable: bool = False
    gap_objective_s: float | None = None
    permitted_regions: frozenset[ids.RegionName] | None = None

    @property
    def may_run_again(self) -> bool:
        """Whether a request may run on a second endpoint."""
        if self.kind is kind.RequestKind.STREAM:
            return self.is_resumable
        return self.kind is kind.RequestKind.IDEMPOTENT
