"""Versioned objects of the platform stand-in."""

import asyncio
import collections

import msgspec

from bronzeslip import ids
from bronzeslip.store import objects

_KEPT_EVENTS = 10_000
MAX_VALUE_BYTES = 1_000_000


class ConflictError(Exception):
    """A condition on a write does not hold."""


class ExpiredError(Exception):
    """Events asked for are no longer kept."""


class ObjectStore:
    """Objects with versions, conditional writes and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, objects.PlatformObject] = {}
        self._version = 0
        self._events: collections.deque[objects.ObjectEvent] = (
            collections.deque(maxlen=_KEPT_EVENTS)
        )
        self._changed = asyncio.Condition()

    def get(self, key: str) -> objects.PlatformObject | None:
        """Reads an object."""
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> objects.ObjectList:
        """Reads the objects under a prefix."""
        found = tuple(
            stored
            for key, stored in sorted(self._objects.items())
            if key.startswith(prefix)
        )
        return objects.ObjectList(ids.ObjectVersion(self._version), found)

    async def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> objects.PlatformObject:
        """Writes an object that is at a version, or absent if None."""
        current = self._objects.get(key)
        if (current.version if current else None) != expected_version:
            raise ConflictError(key)
        self._version += 1
        stored = objects.PlatformObject(
            ids.ObjectKey(key),
            ids.ObjectVersion(self._version),
            msgspec.Raw(value),
        )
        self._objects[key] = stored
        await self._record(objects.EventKind.PUT, stored)
        return stored

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object that is at a version."""
        current = self._objects.get(key)
        if current is None or current.version != expected_version:
            raise ConflictError(key)
        self._version += 1
        del self._objects[key]
        gone = objects.PlatformObject(
            current.key, ids.ObjectVersion(self._version), current.value
        )
        await self._record(objects.EventKind.DELETE, gone)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for events under a prefix after a version."""
        found = self._events_after(prefix, after)
        if not found:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(
                        lambda: self._events_after(prefix, after)
                    )
            except TimeoutError:
                pass
            found = self._events_after(prefix, after)
        version = self._version if not found else found[-1].version
        return objects.WatchBatch(ids.ObjectVersion(version), tuple(found))

    def _events_after(
        self, prefix: str, after: int
    ) -> list[objects.ObjectEvent]:
        if after > self._version:
            raise ExpiredError(str(after))
        dropped = len(self._events) == _KEPT_EVENTS
        if dropped and self._events[0].version > after + 1:
            raise ExpiredError(str(after))
        found = []
        for event in reversed(self._events):
            if event.version <= after:
                break
            if event.key.startswith(prefix):
                found.append(event)
        found.reverse()
        return found

    async def _record(
        self, kind: objects.EventKind, stored: objects.PlatformObject
    ) -> None:
        self._events.append(
            objects.ObjectEvent(kind, stored.key, stored.version, stored.value)
        )
        async with self._changed:
            self._changed.notify_all()
