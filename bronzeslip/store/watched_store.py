"""Interface of a store client for following objects."""

from typing import Protocol

from bronzeslip import ids
from bronzeslip.store import objects


class WatchedStore(Protocol):
    """Lists and watches objects; methods may raise errors.PlatformError."""

    async def list_objects(self, prefix: str) -> objects.ObjectList:
        """Reads all objects whose keys start with a prefix."""

    async def watch(
        self, prefix: str, after: ids.ObjectVersion, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for changes after a version, for at most wait_s seconds."""
