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
        engine: Traits of its model engines, or None for other services.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: engine_traits.EngineTraits | None = None
