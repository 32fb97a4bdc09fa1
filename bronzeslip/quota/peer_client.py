"""Interface for calls to other gateways."""

from typing import Protocol

from bronzeslip.quota import peer
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request


class PeerClient(Protocol):
    """Client for calls to other gateways."""

    async def ask(
        self, target: peer.Peer, request: permit_request.PermitRequest
    ) -> permit_reply.PermitReply:
        """Asks another gateway for a permit.

        Raises:
            errors.PeerUnavailableError: If there was no valid reply in time.
        """
