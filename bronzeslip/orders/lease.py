"""Stored form of a lease."""

import msgspec

from bronzeslip import ids

LEASES_PREFIX = "leases/"


class Lease(msgspec.Struct, frozen=True):
    """A lease as stored on the platform.

    No wall-clock time is stored. A lease has expired once it was not renewed
    for its time to live, as measured by the process that tries to acquire it.

    Attributes:
        holder: Incarnation that holds the lease, or "" if released.
        renewals: Number of writes by the holder.
        ttl_s: Time to live after the latest write, in seconds.
    """

    holder: ids.IncarnationId
    renewals: int
    ttl_s: float


def key_of(name: str) -> ids.ObjectKey:
    """Returns the platform key of a lease."""
    return ids.ObjectKey(f"{LEASES_PREFIX}{name}")
