"""A disturbance that excuses a gateway."""

import msgspec

STORE = "store"


class Disturbance(msgspec.Struct, frozen=True):
    """Time in which a gateway was stopped, paused or cut off.

    Attributes:
        name: VM id of the gateway, id of the endpoint if all links to it were
            affected, or name of the store or of a gateway's link to it.
        started_s: Start on the monotonic clock, in seconds.
        ended_s: End on the monotonic clock, in seconds.
    """

    name: str
    started_s: float
    ended_s: float


def link_to_store(gateway: str) -> str:
    """Returns the name of a gateway's link to the store."""
    return f"{STORE}/{gateway}"


def process_of(endpoint_id: str) -> str:
    """Returns the name of the process of an endpoint."""
    return f"process/{endpoint_id}"
