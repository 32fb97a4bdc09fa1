"""Load that a model engine reports of itself."""

import msgspec

from bronzeslip import ids


class RunReport(msgspec.Struct, frozen=True):
    """One run at an engine.

    Attributes:
        request_id: Request that is run.
        memory_tokens: Tokens that it keeps in memory.
        events: Events that it has made.
    """

    request_id: ids.RequestId
    memory_tokens: int
    events: int


class EngineReport(msgspec.Struct, frozen=True):
    """State of a model engine some hundred milliseconds ago.

    Attributes:
        waiting: Requests in its queue.
        running: Requests that it runs.
        used_tokens: Memory that cannot yield, in tokens.
        memory_tokens: Its whole memory, in tokens.
        reserved_tokens: Memory reserved for copies and leases, in tokens.
        leaves_in_s: Time until it leaves, in seconds, or None.
        is_leaving: Whether it takes no new requests any more.
        runs: Its runs.
    """

    waiting: int
    running: int
    used_tokens: int
    memory_tokens: int
    reserved_tokens: int = 0
    leaves_in_s: float | None = None
    is_leaving: bool = False
    runs: tuple[RunReport, ...] = ()
