"""Interface for requests for a placement to other gateways."""

from typing import Protocol

from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.quota import peer


class PlacementClient(Protocol):
    """Client for requests for a placement to other gateways."""

    async def place(
        self, target: peer.Peer, request: placement_request.PlacementRequest
    ) -> placement_reply.PlacementReply:
        """Asks another gateway for a placement.

        Raises:
            errors.PeerUnavailableError: If there was no valid reply in time.
        """
