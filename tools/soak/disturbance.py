"""A disturbance that excuses a gateway."""

import msgspec


class Disturbance(msgspec.Struct, frozen=True):
    """Time in which a gateway was stopped, paused or cut off.

    Attributes:
        name: VM id of the gateway, or id of the endpoint if all links to it
            were affected.
        started_s: Start on the monotonic clock, in seconds.
        ended_s: End on the monotonic clock, in seconds.
    """

    name: str
    started_s: float
    ended_s: float
