"""Objects that the store keeps."""

from typing import Any

import msgspec


class Metadata(msgspec.Struct):
    """What the store knows of an object.

    Attributes:
        name: Name within the kind.
        revision: Revision of the last change.
        create_revision: Revision at which it was created.
        finalizers: Names that hold up its removal.
        deleting: Whether it is removed once they are gone.
    """

    name: str
    revision: int = 0
    create_revision: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object.

    Attributes:
        metadata: What the store knows of it.
        spec: What its writer has written.
        status: What others have written about it.
    """

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Change(msgspec.Struct, frozen=True):
    """One entry of the history.

    Attributes:
        kind: Kind of the object.
        object: The object after the change.
        removed: Whether it was removed.
    """

    kind: str
    object: StoredObject
    removed: bool = False

    @property
    def revision(self) -> int:
        """Revision of the change."""
        return self.object.metadata.revision
