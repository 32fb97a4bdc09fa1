"""Versioned objects and the history of their changes."""

import asyncio
import time

import msgspec

from standins.object_store import objects

_MAX_COPIES = 1000


class ConflictError(Exception):
    """The object already exists or has another revision than expected.

    Attributes:
        current_object: Object as the store holds it.
    """

    def __init__(self, current_object: objects.StoredObject) -> None:
        super().__init__(current_object.metadata.name)
        self.current_object = current_object


class NotFoundError(Exception):
    """The object does not exist."""


class HistoryCompactedError(Exception):
    """The history after the requested revision has been compacted."""


class _Copy(msgspec.Struct, frozen=True):
    """State of the store after a change.

    Attributes:
        time_s: Time of the change on the monotonic clock, in seconds.
        revision: Revision of the store.
        objects_by_key: Objects by kind and name.
    """

    time_s: float
    revision: int
    objects_by_key: dict[tuple[str, str], objects.StoredObject]


class ObjectStore:
    """Objects by kind and name, with one revision counter for all of them.

    Attributes:
        revision: Revision of the last change.
        era: Number of the current era, which rises with each restore.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self._copies = [_Copy(time.monotonic(), 1, {})]
        self._objects: dict[tuple[str, str], objects.StoredObject] = {}
        self._history: list[objects.Change] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()

    def list_kind(self, kind: str) -> list[objects.StoredObject]:
        """Returns the objects of a kind, sorted by name."""
        return [
            stored_object
            for (object_kind, _), stored_object in sorted(self._objects.items())
            if object_kind == kind
        ]

    def get(self, kind: str, name: str) -> objects.StoredObject:
        """Returns an object.

        Raises:
            NotFoundError: If the object does not exist.
        """
        stored_object = self._objects.get((kind, name))
        if stored_object is None:
            raise NotFoundError(name)
        return stored_object

    async def create(
        self, kind: str, new_object: objects.StoredObject
    ) -> objects.StoredObject:
        """Creates an object.

        Raises:
            ConflictError: If the object already exists.
        """
        name = new_object.metadata.name
        current_object = self._objects.get((kind, name))
        if current_object is not None:
            raise ConflictError(current_object)
        return await self._put(kind, new_object, self.revision + 1)

    async def replace(
        self, kind: str, name: str, replacement: objects.StoredObject
    ) -> objects.StoredObject:
        """Replaces the spec of an object.

        Raises:
            NotFoundError: If the object does not exist.
            ConflictError: If the replacement names another revision than the
                current one.
        """
        current_object = self.get(kind, name)
        _check_revision(current_object, replacement.metadata.revision)
        if current_object.spec == replacement.spec:
            return current_object
        updated_object = msgspec.structs.replace(
            current_object, spec=replacement.spec
        )
        return await self._put(
            kind, updated_object, current_object.metadata.create_revision
        )

    async def put_unconditionally(
        self, kind: str, stored_object: objects.StoredObject
    ) -> objects.StoredObject:
        """Creates or replaces an object, whatever its revision."""
        return await self._put(kind, stored_object, self.revision + 1)

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Removes an object.

        Raises:
            NotFoundError: If the object does not exist.
            ConflictError: If the object has another revision than the given
                one.
        """
        current_object = self.get(kind, name)
        _check_revision(current_object, revision)
        del self._objects[kind, name]
        self._keep_copy(self.revision + 1)
        await self._record_change(
            kind, current_object, current_object.metadata.create_revision, True
        )

    async def changes(
        self, kind: str, after: int, wait_s: float
    ) -> list[objects.Change]:
        """Waits for changes of a kind after a revision.

        Returns an empty list if there are none within wait_s seconds.

        Raises:
            HistoryCompactedError: If some of the changes have been compacted.
        """
        era = self.era

        def matching_changes() -> list[objects.Change]:
            is_unknown = era != self.era or after > self.revision
            if is_unknown or after < self._compacted_revision:
                raise HistoryCompactedError
            return [
                change
                for change in self._history
                if change.kind == kind and change.revision > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    return await self._changed.wait_for(matching_changes)
            except TimeoutError:
                return []

    async def compact_history(self) -> None:
        """Discards the history and wakes waiting watches."""
        async with self._changed:
            self._history.clear()
            self._compacted_revision = self.revision
            self._changed.notify_all()

    async def restore(self, age_s: float) -> None:
        """Goes back to the state of some time ago, in a new era.

        Revisions given out since then are given out again.
        """
        restored_time_s = time.monotonic() - age_s
        copies = [
            kept for kept in self._copies if kept.time_s <= restored_time_s
        ]
        restored = copies[-1] if copies else self._copies[0]
        async with self._changed:
            self.era += 1
            self.revision = restored.revision
            self._objects = dict(restored.objects_by_key)
            self._copies = [restored]
            self._history.clear()
            self._compacted_revision = self.revision
            self._changed.notify_all()

    def _keep_copy(self, revision: int) -> None:
        self._copies.append(
            _Copy(time.monotonic(), revision, dict(self._objects))
        )
        del self._copies[:-_MAX_COPIES]

    async def _put(
        self, kind: str, new_object: objects.StoredObject, create_revision: int
    ) -> objects.StoredObject:
        stored_object = await self._record_change(
            kind, new_object, create_revision, False
        )
        self._objects[kind, stored_object.metadata.name] = stored_object
        self._keep_copy(self.revision)
        return stored_object

    async def _record_change(
        self,
        kind: str,
        updated_object: objects.StoredObject,
        create_revision: int,
        removed: bool,
    ) -> objects.StoredObject:
        async with self._changed:
            self.revision += 1
            metadata = msgspec.structs.replace(
                updated_object.metadata,
                revision=self.revision,
                create_revision=create_revision,
            )
            stored_object = msgspec.structs.replace(
                updated_object, metadata=metadata
            )
            self._history.append(objects.Change(kind, stored_object, removed))
            self._changed.notify_all()
        return stored_object


def _check_revision(
    current_object: objects.StoredObject, revision: int
) -> None:
    if revision and revision != current_object.metadata.revision:
        raise ConflictError(current_object)
