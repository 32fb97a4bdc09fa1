"""Object store of the platform stand-in."""

import asyncio
import collections

import msgspec

from bronzeslip import ids
from bronzeslip.store import objects

_MAX_EVENTS = 10_000
MAX_VALUE_BYTES = 1_000_000


class ConflictError(Exception):
    """The object does not have the version that a write expects."""


class ExpiredError(Exception):
    """The requested events are no longer kept."""


class ObjectStore:
    """Versioned objects with conditional writes and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, objects.PlatformObject] = {}
        self._version = 0
        self._events: collections.deque[objects.ObjectEvent] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self._changed = asyncio.Condition()

    def get(self, key: str) -> objects.PlatformObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> objects.ObjectList:
        """Returns the objects under a prefix, sorted by key."""
        matching_objects = tuple(
            stored_object
            for key, stored_object in sorted(self._objects.items())
            if key.startswith(prefix)
        )
        return objects.ObjectList(
            ids.ObjectVersion(self._version), matching_objects
        )

    async def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> objects.PlatformObject:
        """Writes an object.

        Args:
            key: Key of the object.
            value: New value, encoded as JSON.
            expected_version: Version that the object must have; None if it must
                not exist.

        Raises:
            ConflictError: If the object has another version.
        """
        current = self._objects.get(key)
        if (current.version if current else None) != expected_version:
            raise ConflictError(key)
        self._version += 1
        stored_object = objects.PlatformObject(
            ids.ObjectKey(key),
            ids.ObjectVersion(self._version),
            msgspec.Raw(value),
        )
        self._objects[key] = stored_object
        await self._record(objects.EventKind.PUT, stored_object)
        return stored_object

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object.

        Raises:
            ConflictError: If the object does not have the expected version.
        """
        current = self._objects.get(key)
        if current is None or current.version != expected_version:
            raise ConflictError(key)
        self._version += 1
        del self._objects[key]
        deleted_object = objects.PlatformObject(
            current.key, ids.ObjectVersion(self._version), current.value
        )
        await self._record(objects.EventKind.DELETE, deleted_object)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> objects.WatchBatch:
        """Waits for events under a prefix after a version.

        Returns an empty batch if there are none within wait_s seconds.

        Raises:
            ExpiredError: If the events after the version are no longer kept, or
                the version is newer than the store.
        """
        events = self._events_after(prefix, after)
        if not events:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(
                        lambda: self._events_after(prefix, after)
                    )
            except TimeoutError:
                pass
            events = self._events_after(prefix, after)
        version = self._version if not events else events[-1].version
        return objects.WatchBatch(ids.ObjectVersion(version), tuple(events))

    def _events_after(
        self, prefix: str, after: int
    ) -> list[objects.ObjectEvent]:
        if after > self._version:
            raise ExpiredError(str(after))
        is_full = len(self._events) == _MAX_EVENTS
        if is_full and self._events[0].version > after + 1:
            raise ExpiredError(str(after))
        events = []
        for event in reversed(self._events):
            if event.version <= after:
                break
            if event.key.startswith(prefix):
                events.append(event)
        events.reverse()
        return events

    async def _record(
        self, kind: objects.EventKind, stored_object: objects.PlatformObject
    ) -> None:
        self._events.append(
            objects.ObjectEvent(
                kind,
                stored_object.key,
                stored_object.version,
                stored_object.value,
            )
        )
        async with self._changed:
            self._changed.notify_all()
