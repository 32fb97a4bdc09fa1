"""Calls to gateways, which pause after a failure."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.quota import peer_client
from bronzeslip.quota import permit_coordinator
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request

logger = logs.get_logger(__name__)

# Time for which a gateway that did not reply is not asked again.
_PAUSE_S = 2.0


class PeerCaller:
    """Asks gateways for permits, this one without a call.

    Attributes:
        own: This gateway.
    """

    def __init__(
        self,
        own: peer.Peer,
        coordinator: permit_coordinator.PermitCoordinator,
        client: peer_client.PeerClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the caller.

        Args:
            own: This gateway.
            coordinator: Decides for this gateway.
            client: Client for calls to other gateways.
            clock: Monotonic clock, in seconds.
        """
        self.own = own
        self._coordinator = coordinator
        self._client = client
        self._clock = clock
        self._pause_ends_s: dict[ids.VmId, float] = {}

    async def ask(
        self, target: peer.Peer, request: permit_request.PermitRequest
    ) -> permit_reply.PermitReply | None:
        """Asks a gateway; returns None if there is no reply."""
        if target.vm_id == self.own.vm_id:
            return self._coordinator.decide(request)
        now_s = self._clock()
        if self._pause_ends_s.get(target.vm_id, now_s) > now_s:
            return None
        try:
            return await self._client.ask(target, request)
        except errors.PeerUnavailableError as error:
            logger.info(
                "permits.peer_unavailable",
                gateway=target.vm_id,
                endpoint=request.endpoint_id,
                reason=error.message,
            )
        except Exception as error:
            # Other gateways choose their addresses and what they reply.
            logger.error(
                "permits.call_failed",
                gateway=target.vm_id,
                endpoint=request.endpoint_id,
                reason=logs.describe(error),
            )
        self._pause_ends_s[target.vm_id] = now_s + _PAUSE_S
        return None
