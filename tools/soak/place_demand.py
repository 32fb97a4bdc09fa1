"""Demands on where requests may be sent."""

import enum

import msgspec


class DemandKind(enum.Enum):
    """What is demanded of gateways."""

    EVACUATION = "evacuation"
    COLD = "cold"


class PlaceDemand(msgspec.Struct, frozen=True):
    """Time in which gateways are told to send less or nothing.

    Attributes:
        kind: What is demanded.
        name: Failure domain that is evacuated, or id of the cold endpoint.
        started_s: When it was written, on the monotonic clock, in seconds.
        ended_s: When it ended, on the monotonic clock, in seconds.
    """

    kind: DemandKind
    name: str
    started_s: float
    ended_s: float
