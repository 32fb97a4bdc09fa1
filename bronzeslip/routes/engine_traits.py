"""What the model engines of a service can do."""

import msgspec


class EngineTraits(msgspec.Struct, frozen=True):
    """Size and abilities of each engine of a service.

    Attributes:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that its memory holds.
        token_bytes: Memory of one token, in bytes.
        link_mbps: Rate of its link for copies, in megabits a second.
        can_move: Whether it copies a run to another engine when told.
        can_back_up: Whether it copies a run while the run goes on.
        copy_lifetime_s: Time that an unused copy is kept, in seconds.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    can_move: bool = False
    can_back_up: bool = False
    copy_lifetime_s: float = 0.0
