"""Interface to the endpoints available to a gateway."""

from typing import Protocol

from bronzeslip import ids
from bronzeslip.membership import member


class EndpointSource(Protocol):
    """Provides the endpoints of each pool."""

    def endpoints_of(self, pool: ids.PoolName) -> tuple[member.Member, ...]:
        """Returns the sidecars in front of the endpoints of a pool."""
