"""Interface to the endpoints that a gateway may use."""

from typing import Protocol

from bronzeslip import ids
from bronzeslip.membership import member


class EndpointSource(Protocol):
    """Knows the endpoints of pools."""

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Lists the sidecars before the endpoints of a pool."""
