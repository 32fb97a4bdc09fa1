"""One service of the configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.routes import engine_traits


class Service(msgspec.Struct, frozen=True):
    """Endpoints that answer the same requests.

    Attributes:
        name: Name of the service.
        health_path: Path that tells whether an endpoint is healthy.
        max_connections: Connections that an endpoint takes of all callers.
        engine: Traits of its model engines, or None for plain services.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: engine_traits.EngineTraits | None = None
