"""Interface of a store client for reading and writing objects."""

from typing import Any
from typing import Protocol

from bronzeslip import ids
from bronzeslip.store import objects


class ReadWriteStore(Protocol):
    """Reads and writes objects; methods may raise errors.PlatformError."""

    async def get(self, key: ids.ObjectKey) -> objects.PlatformObject | None:
        """Reads an object; returns None if it does not exist."""

    async def create(
        self, key: ids.ObjectKey, value: Any
    ) -> objects.PlatformObject:
        """Creates an object that must not exist yet."""

    async def update(
        self, key: ids.ObjectKey, value: Any, version: ids.ObjectVersion
    ) -> objects.PlatformObject:
        """Replaces an object if it is at the given version."""

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> None:
        """Deletes an object if it is at the given version."""

    async def list_objects(
        self, prefix: str, may_be_stale: bool = False
    ) -> objects.ObjectList:
        """Reads all objects whose keys start with a prefix."""
