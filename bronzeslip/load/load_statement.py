"""What an endpoint states about its load."""

import msgspec


class LoadStatement(msgspec.Struct, frozen=True):
    """Load of an endpoint at the time of one of its responses.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that it runs concurrently.
        pace: How long work takes there now, as a multiple of its normal time,
            or None if it is not stated.
        received_s: Time of receipt on the event loop's clock, in seconds.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None
    received_s: float
