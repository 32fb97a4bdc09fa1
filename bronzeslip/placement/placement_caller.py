"""Asks the coordinator of a shard, then a fallback."""

from collections.abc import Callable
from collections.abc import Iterable
import time

import msgspec

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

# Gateways asked for one placement, besides one that did not reply last time.
_MAX_ASKED = 2
# Time for which a gateway that did not reply is not asked again. It doubles
# with each further failure, since a request loses the timeout of the call each
# time.
_MIN_PAUSE_S = 2.0
_MAX_PAUSE_S = 8.0


class _Pause(msgspec.Struct, frozen=True):
    """Time in which a gateway is not asked.

    Attributes:
        duration_s: Duration of the pause, in seconds.
        end_s: End of the pause on the caller's clock, in seconds.
    """

    duration_s: float
    end_s: float


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
        self._pauses: dict[ids.VmId, _Pause] = {}
        self.ended = ended_requests.EndedRequests()

    async def ask(
        self, ask: placement_ask.PlacementAsk
    ) -> placement_reply.PlacementReply | None:
        """Asks for a placement; returns None if no gateway decides."""
        asked = shard.Shard(ask.service, ask.shard_index, ask.shard_count)
        for target in self.gateways_to_ask(asked):
            reply = await self._ask_gateway(target, ask)
            if (
                reply is not None
                and reply.verdict
                is not placement_verdict.PlacementVerdict.NOT_RESPONSIBLE
            ):
                return reply
        return None

    def gateways_to_ask(self, asked: shard.Shard) -> tuple[peer.Peer, ...]:
        """Returns the gateways that are asked now, in order."""
        ranked = self._gateways.ranked(asked.key, shard.RANKED_COUNT)
        return tuple(self._select(ranked))

    def _select(self, ranked: Iterable[peer.Peer]) -> list[peer.Peer]:
        """Returns the gateways to ask, in order.

        At most one of them did not reply the last time, so that a request tries
        few gateways in vain.
        """
        selected: list[peer.Peer] = []
        has_retry = False
        for target in ranked:
            if self._is_paused(target):
                continue
            if target.vm_id in self._pauses:
                if has_retry:
                    continue
                has_retry = True
            selected.append(target)
            if len(selected) - has_retry == _MAX_ASKED:
                break
        return selected

    def _is_paused(self, target: peer.Peer) -> bool:
        pause = self._pauses.get(target.vm_id)
        return pause is not None and pause.end_s > self._clock()

    def _pause(self, target: peer.Peer) -> None:
        """Pauses a gateway, longer than the last time."""
        previous = self._pauses.get(target.vm_id)
        duration_s = _MIN_PAUSE_S
        if previous is not None:
            duration_s = min(2 * previous.duration_s, _MAX_PAUSE_S)
            if previous.end_s > self._clock():
                # Another request has failed at the same time.
                return
        self._pauses[target.vm_id] = _Pause(
            duration_s, self._clock() + duration_s
        )

    async def _ask_gateway(
        self, target: peer.Peer, ask: placement_ask.PlacementAsk
    ) -> placement_reply.PlacementReply | None:
        request = placement_request.PlacementRequest(
            ask, self.ended.take(target.vm_id), self._own
        )
        self.ended.record_asked(ask.request_id, target.vm_id)
        try:
            if target.vm_id == self._own.vm_id:
                reply = self._coordinator.decide(request)
            else:
                reply = await self._client.place(target, request)
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
        else:
            self._pauses.pop(target.vm_id, None)
            return reply
        self._pause(target)
        return None
