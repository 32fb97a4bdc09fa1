"""Interface for the gateways that coordinate the limits of endpoints."""

from typing import Protocol

from bronzeslip.quota import peer
from bronzeslip.quota import standing


class Coordinators(Protocol):
    """Coordinators of endpoints as seen by one gateway."""

    def ranked(self, key: str, count: int = 2) -> tuple[peer.Peer, ...]:
        """Returns the coordinator of a key and its fallbacks.

        Args:
            key: Key to coordinate.
            count: Number of gateways to return, four at most.

        Returns:
            At most that many gateways, possibly including this one; none before
            the gateways are known.
        """

    def standing_for(self, key: str, is_fallback: bool) -> standing.Standing:
        """Returns which part of a limit this gateway may grant.

        Args:
            key: Key that the limit belongs to.
            is_fallback: Whether the asking gateway did not reach the
                coordinator.
        """

    def refresh_soon(self) -> None:
        """Requests that the gateways become known as soon as possible."""
