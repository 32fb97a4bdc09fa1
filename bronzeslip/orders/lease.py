"""Stored form of a lease."""

import msgspec

from bronzeslip import ids

LEASES_PREFIX = "leases/"


class Lease(msgspec.Struct, frozen=True):
    """A lease as the platform keeps it.

    No time of day is stored. A lease that nobody has renewed for its time to
    live, measured by whoever wants it, has lapsed.

    Attributes:
        holder: Incarnation that holds the lease, or "" if released.
        renewals: Counts the writes of the holder.
        ttl_s: Time to live after the latest write, in seconds.
    """

    holder: ids.IncarnationId
    renewals: int
    ttl_s: float


def key_of(name: str) -> ids.ObjectKey:
    """Returns the platform key of a lease."""
    return ids.ObjectKey(f"{LEASES_PREFIX}{name}")
