"""Updates that bring a follower up to date."""

import msgspec

from bronzeslip import ids
from bronzeslip.store import objects

UNKNOWN_VERSION = ids.ObjectVersion(-1)


class Snapshot(msgspec.Struct, frozen=True):
    """Complete list of the objects under a prefix."""

    listed: objects.ObjectList


class Delta(msgspec.Struct, frozen=True):
    """Changes of a prefix between two versions.

    Attributes:
        base: Version that the events apply to.
        version: Version after the events are applied.
        events: Changes under the prefix, in version order.
    """

    base: ids.ObjectVersion
    version: ids.ObjectVersion
    events: tuple[objects.ObjectEvent, ...]


Change = Snapshot | Delta
