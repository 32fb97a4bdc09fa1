"""Part of a store's client that registries use."""

from typing import Any
from typing import Protocol

from bronzeslip import ids
from bronzeslip.store import objects


class RegistryStore(Protocol):
    """Reads and writes objects; raises errors.PlatformError."""

    async def get(self, key: ids.ObjectKey) -> objects.PlatformObject | None:
        """Reads an object, or None if there is none."""

    async def create(
        self, key: ids.ObjectKey, value: Any
    ) -> objects.PlatformObject:
        """Writes an object that must not exist yet."""

    async def update(
        self, key: ids.ObjectKey, value: Any, version: ids.ObjectVersion
    ) -> objects.PlatformObject:
        """Writes an object that must be at a version."""

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> None:
        """Deletes an object that must be at a version."""

    async def list_objects(
        self, prefix: str, may_be_stale: bool = False
    ) -> objects.ObjectList:
        """Reads all objects whose key starts with a prefix."""
