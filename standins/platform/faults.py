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


class Hold(msgspec.Struct, frozen=True):
    """Calls that wait until the hold is lifted.

    Attributes:
        call: Kind of call held, as the counter of calls names it.
        prefix: Start of the keys held.
        after_effect: Whether a write takes effect before it waits.
    """

    call: str
    prefix: str
    after_effect: bool = False
