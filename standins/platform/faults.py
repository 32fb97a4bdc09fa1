"""Faults that the platform stand-in can be told to have."""

import enum

import msgspec


class FaultMode(enum.Enum):
    """Kind of fault."""

    NONE = "none"
    OUTAGE = "outage"
    SLOW = "slow"
    LOST_ANSWER = "lost-answer"


class Faults(msgspec.Struct):
    """Fault in effect.

    Attributes:
        mode: Kind of fault.
        delay_s: Delay of every answer when slow, in seconds.
        write_count: Writes whose answers are lost; 0 means all.
    """

    mode: FaultMode = FaultMode.NONE
    delay_s: float = 0.0
    write_count: int = 0
