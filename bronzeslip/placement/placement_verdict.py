"""Verdict on a request for a placement."""

import enum


class PlacementVerdict(enum.Enum):
    """What a gateway is to do with a generation.

    Attributes:
        PLACED: Send it to the endpoint of the reply.
        DEFERRED: Ask again after the retry time.
        REFUSED: Refuse it to the client with the retry time.
        NOT_RESPONSIBLE: Decide otherwise; the gateway that was asked must not.
            A policy never returns this verdict.
    """

    PLACED = "placed"
    DEFERRED = "deferred"
    REFUSED = "refused"
    NOT_RESPONSIBLE = "not-responsible"
