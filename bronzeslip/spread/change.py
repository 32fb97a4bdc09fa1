"""What a follower needs to come up to date."""

import msgspec

from bronzeslip import ids
from bronzeslip.store import objects

UNKNOWN_VERSION = ids.ObjectVersion(-1)


class Snapshot(msgspec.Struct, frozen=True):
    """The whole state of a prefix."""

    listed: objects.ObjectList


class Delta(msgspec.Struct, frozen=True):
    """Changes of a prefix between two versions.

    Attributes:
        base: Version that the follower has.
        version: Version that it has after the events.
        events: Changes under the prefix, in order.
    """

    base: ids.ObjectVersion
    version: ids.ObjectVersion
    events: tuple[objects.ObjectEvent, ...]


Change = Snapshot | Delta
