"""Types of the objects in the store and of their changes."""

from typing import Any

import msgspec


class Metadata(msgspec.Struct):
    """Metadata that the store maintains for an object.

    Attributes:
        name: Name, unique within the kind.
        revision: Revision of the last change.
        create_revision: Revision at which the object was created.
        finalizers: Finalizers that must be cleared before removal.
        deleting: Whether the object is removed once it has no finalizers.
    """

    name: str
    revision: int = 0
    create_revision: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """An object of the store.

    Attributes:
        metadata: Metadata maintained by the store.
        spec: Desired state, written by the owner of the object.
        status: Observed state, written by other clients.
    """

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Change(msgspec.Struct, frozen=True):
    """An entry of the change history.

    Attributes:
        kind: Kind of the object.
        object: The object after the change.
        removed: Whether the change removed the object.
    """

    kind: str
    object: StoredObject
    removed: bool = False

    @property
    def revision(self) -> int:
        """Revision at which the change was made."""
        return self.object.metadata.revision
