"""Service of the configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.routes import engine_traits


class Service(msgspec.Struct, frozen=True):
    """A set of endpoints that serve the same requests.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check of its endpoints.
        max_connections: Maximum number of connections to one endpoint, over
            all callers.
        cold_s: Time for which an endpoint is cold after its start, in seconds.
        cold_per_s: Requests per second that a cold endpoint sustains, from all
            gateways together; 0 if it is not limited.
        engine: Traits of its model engines, or None for other services.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: engine_traits.EngineTraits | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0
