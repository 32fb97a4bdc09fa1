"""Part of a store's client that followers use."""

from typing import Protocol

from bronzeslip import ids
from bronzeslip.store import objects


class WatchedStore(Protocol):
    """Lists and watches objects; raises errors.PlatformError."""

    async def list_objects(self, prefix: str) -> objects.ObjectList:
        """Reads all objects whose key starts with a prefix."""

    async def watch(
        self, prefix: str, after: ids.ObjectVersion, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for changes after a version, for at most a time."""
