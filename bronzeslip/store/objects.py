"""Objects and events of the platform's object store."""

import enum

import msgspec

from bronzeslip import ids


class PlatformObject(msgspec.Struct, frozen=True):
    """Stored object.

    Attributes:
        key: Key of the object.
        version: Version of the store at which the object was last written.
        value: Value as JSON.
    """

    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: msgspec.Raw


class ObjectList(msgspec.Struct, frozen=True):
    """Objects under a prefix at one version of the store."""

    version: ids.ObjectVersion
    objects: tuple[PlatformObject, ...]


class EventKind(enum.Enum):
    """Kind of change to an object."""

    PUT = "put"
    DELETE = "delete"


class ObjectEvent(msgspec.Struct, frozen=True):
    """Change to an object."""

    kind: EventKind
    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: msgspec.Raw = msgspec.Raw(b"null")


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes since a version; empty if the watch timed out."""

    version: ids.ObjectVersion
    events: tuple[ObjectEvent, ...]


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True):
    """VM in the platform's list, which may be outdated."""

    vm_id: ids.VmId
    failure_domain: ids.FailureDomainName
    state: VmState


class WeightGrant(msgspec.Struct, frozen=True):
    """Response of the weight store to a download request.

    Attributes:
        granted: Whether the download may start now.
        retry_after_s: Delay before the next request if not granted, in
            seconds.
    """

    granted: bool
    retry_after_s: float = 0.0
