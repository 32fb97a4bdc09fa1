"""Objects and events of the platform's object API."""

import enum

import msgspec

from bronzeslip import ids


class PlatformObject(msgspec.Struct, frozen=True):
    """One stored object.

    Attributes:
        key: Name of the object.
        version: Version of the store at which the object was written.
        value: The value as JSON text.
    """

    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: msgspec.Raw


class ObjectList(msgspec.Struct, frozen=True):
    """Objects under a prefix, as of one version of the store."""

    version: ids.ObjectVersion
    objects: tuple[PlatformObject, ...]


class EventKind(enum.Enum):
    """What happened to an object."""

    PUT = "put"
    DELETE = "delete"


class ObjectEvent(msgspec.Struct, frozen=True):
    """One change of an object."""

    kind: EventKind
    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: msgspec.Raw = msgspec.Raw(b"null")


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes since a version, empty when the wait ran out."""

    version: ids.ObjectVersion
    events: tuple[ObjectEvent, ...]


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True):
    """One VM in the platform's lagging list."""

    vm_id: ids.VmId
    failure_domain: ids.FailureDomainName
    state: VmState


class WeightGrant(msgspec.Struct, frozen=True):
    """Answer of the weight store to a request for a download.

    Attributes:
        granted: Whether the download may start now.
        retry_after_s: When to ask again if not granted.
    """

    granted: bool
    retry_after_s: float = 0.0
