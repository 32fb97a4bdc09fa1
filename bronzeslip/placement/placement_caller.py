"""Asks the coordinator of a shard, then its fallback."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.placement import ended_requests
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_client
from bronzeslip.placement import placement_coordinator
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import shard
from bronzeslip.quota import coordinators
from bronzeslip.quota import errors
from bronzeslip.quota import peer

logger = logs.get_logger(__name__)

# Time for which a gateway that did not reply is not asked again.
_PAUSE_S = 2.0


class PlacementCaller:
    """Asks the gateways that may coordinate a shard, this one without a call.

    Attributes:
        ended: Requests whose end is to be stated to their coordinators.
    """

    def __init__(
        self,
        own: peer.Peer,
        gateways: coordinators.Coordinators,
        coordinator: placement_coordinator.PlacementCoordinator,
        client: placement_client.PlacementClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the caller.

        Args:
            own: This gateway.
            gateways: Ranks the coordinators of a shard.
            coordinator: Coordinator of this gateway.
            client: Client for calls to other gateways.
            clock: Monotonic clock, in seconds.
        """
        self._own = own
        self._gateways = gateways
        self._coordinator = coordinator
        self._client = client
        self._clock = clock
        self._pause_ends_s: dict[ids.VmId, float] = {}
        self.ended = ended_requests.EndedRequests()

    async def ask(
        self, ask: placement_ask.PlacementAsk
    ) -> placement_reply.PlacementReply | None:
        """Asks for a placement; returns None if no gateway decides."""
        asked = shard.Shard(ask.service, ask.shard_index, ask.shard_count)
        for target in self._gateways.ranked(asked.key):
            if self._is_paused(target):
                continue
            reply = await self._ask_gateway(target, ask)
            if (
                reply is not None
                and reply.verdict
                is not placement_verdict.PlacementVerdict.NOT_RESPONSIBLE
            ):
                return reply
        return None

    def _is_paused(self, target: peer.Peer) -> bool:
        now_s = self._clock()
        return self._pause_ends_s.get(target.vm_id, now_s) > now_s

    async def _ask_gateway(
        self, target: peer.Peer, ask: placement_ask.PlacementAsk
    ) -> placement_reply.PlacementReply | None:
        request = placement_request.PlacementRequest(
            ask, self.ended.take(target.vm_id), self._own
        )
        self.ended.record_asked(ask.request_id, target.vm_id)
        if target.vm_id == self._own.vm_id:
            return self._coordinator.decide(request)
        try:
            return await self._client.place(target, request)
        except errors.PeerUnavailableError as error:
            logger.info(
                "placement.peer_unavailable",
                gateway=target.vm_id,
                request=ask.request_id,
                reason=error.message,
            )
        except Exception as error:
            # Other gateways choose their addresses and what they reply.
            logger.error(
                "placement.call_failed",
                gateway=target.vm_id,
                request=ask.request_id,
                reason=logs.describe(error),
            )
        self._pause_ends_s[target.vm_id] = self._clock() + _PAUSE_S
        return None
