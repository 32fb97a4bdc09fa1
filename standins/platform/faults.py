"""Faults that tests inject into the platform stand-in."""

import enum

import msgspec


class FaultMode(enum.Enum):
    """Kind of injected fault."""

    NONE = "none"
    OUTAGE = "outage"
    SLOW = "slow"
    LOST_ANSWER = "lost-answer"


class Faults(msgspec.Struct):
    """Active fault.

    Attributes:
        mode: Kind of fault.
        delay_s: Delay before each call in the mode SLOW, in seconds.
        write_count: Number of writes that take effect without a successful
            response in the mode LOST_ANSWER; 0 means all.
    """

    mode: FaultMode = FaultMode.NONE
    delay_s: float = 0.0
    write_count: int = 0


class Hold(msgspec.Struct, frozen=True):
    """Selects the calls that wait until the hold is cleared.

    Attributes:
        call: Kind of call, as in the call counters.
        prefix: Prefix of the object keys.
        after_effect: Whether writes wait after taking effect rather than
            before.
    """

    call: str
    prefix: str
    after_effect: bool = False
