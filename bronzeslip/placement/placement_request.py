"""Request of a gateway for a placement."""

from typing import Annotated

import msgspec

from bronzeslip import ids
from bronzeslip.placement import placement_ask
from bronzeslip.quota import peer

# Bounds the size of a request; further ends are stated with later requests.
MAX_ENDED = 64


class PlacementRequest(msgspec.Struct, frozen=True):
    """Asks the coordinator of a shard where to send one generation.

    Attributes:
        ask: The generation.
        ended: Requests whose placements the coordinator can forget.
        sender: The asking gateway.
    """

    ask: placement_ask.PlacementAsk
    ended: Annotated[
        tuple[ids.RequestId, ...], msgspec.Meta(max_length=MAX_ENDED)
    ]
    sender: peer.Peer
