"""Frames that report liveness and load over a peer connection."""

import msgspec

from bronzeslip import ids


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint as known to its sidecar.

    Attributes:
        running: Number of running requests.
        queued: Number of requests queued at the sidecar.
        memory_used_ratio: Used fraction of the engine's cache memory.
        queue_wait_s: Expected wait of a new request, in seconds.
        draining: Whether new requests are refused.
        memory_peak_ratio: Predicted peak of memory_used_ratio.
        step_time_s: Duration of one engine step, in seconds; 0 if unknown.
        cached_prefixes: Hashes of the shared prompt prefixes cached by the
            engine; None if unknown.
    """

    running: int = 0
    queued: int = 0
    memory_used_ratio: float = 0.0
    queue_wait_s: float = 0.0
    draining: bool = False
    memory_peak_ratio: float = 0.0
    step_time_s: float = 0.0
    cached_prefixes: tuple[int, ...] | None = None


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Signals that the sender is alive.

    Attributes:
        incarnation_id: Incarnation of the sender.
        load: Load of the sender's endpoint, if it has one.
    """

    incarnation_id: ids.IncarnationId
    load: EndpointLoad | None = None
