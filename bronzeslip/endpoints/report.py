"""Load reports of model engines."""

import msgspec

from bronzeslip import ids


class RunReport(msgspec.Struct, frozen=True):
    """One running request at an engine.

    Attributes:
        request_id: Id of the request.
        memory_tokens: Memory that it occupies, in tokens.
        events: Number of events that it has generated.
    """

    request_id: ids.RequestId
    memory_tokens: int
    events: int


class EngineReport(msgspec.Struct, frozen=True):
    """State of a model engine, some hundred milliseconds old.

    Attributes:
        waiting: Number of queued requests.
        running: Number of running requests.
        used_tokens: Memory that cannot be reclaimed, in tokens.
        memory_tokens: Total memory, in tokens.
        held_tokens: Memory reserved for copies and leases, in tokens.
        leaves_in_s: Time until it leaves, in seconds, or None if it stays.
        is_leaving: Whether it no longer accepts new requests.
        runs: Running requests.
    """

    waiting: int
    running: int
    used_tokens: int
    memory_tokens: int
    held_tokens: int = 0
    leaves_in_s: float | None = None
    is_leaving: bool = False
    runs: tuple[RunReport, ...] = ()
