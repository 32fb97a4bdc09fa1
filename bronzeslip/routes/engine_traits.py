"""Capacity and capabilities of the model engines of a service."""

import msgspec


class EngineTraits(msgspec.Struct, frozen=True):
    """Capacity and capabilities of each engine of a service.

    Attributes:
        slots: Number of requests that it runs concurrently.
        memory_tokens: Memory capacity, in tokens.
        token_bytes: Memory size of one token, in bytes.
        link_mbps: Bandwidth of its link for copies, in megabits per second.
        can_move: Whether it can copy a run to another engine on request.
        can_back_up: Whether it can copy a run while the run continues.
        copy_lifetime_s: Time for which an unused copy is kept, in seconds.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    can_move: bool = False
    can_back_up: bool = False
    copy_lifetime_s: float = 0.0
