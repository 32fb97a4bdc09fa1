"""Objects, their revisions and their history."""

import asyncio

import msgspec

from standins.object_store import stored


class ConflictError(Exception):
    """The object exists, or is at another revision.

    Attributes:
        found: The object.
    """

    def __init__(self, found: stored.StoredObject) -> None:
        super().__init__(found.metadata.name)
        self.found = found


class MissingError(Exception):
    """There is no such object."""


class HistoryGoneError(Exception):
    """Older changes are no longer kept."""


class ObjectStore:
    """Keeps objects by kind and name under one counter of revisions."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[tuple[str, str], stored.StoredObject] = {}
        self._history: list[stored.Change] = []
        self._forgotten_revision = 0
        self._changed = asyncio.Condition()

    def list_kind(self, kind: str) -> list[stored.StoredObject]:
        """Lists the objects of a kind by name."""
        return [
            found
            for (of_kind, _), found in sorted(self._objects.items())
            if of_kind == kind
        ]

    def get(self, kind: str, name: str) -> stored.StoredObject:
        """Returns an object.

        Raises:
            MissingError: If there is none.
        """
        found = self._objects.get((kind, name))
        if found is None:
            raise MissingError(name)
        return found

    async def create(
        self, kind: str, wanted: stored.StoredObject
    ) -> stored.StoredObject:
        """Creates an object.

        Raises:
            ConflictError: If it exists.
        """
        name = wanted.metadata.name
        known = self._objects.get((kind, name))
        if known is not None:
            raise ConflictError(known)
        return await self._put(kind, wanted, self.revision + 1)

    async def replace(
        self, kind: str, name: str, wanted: stored.StoredObject
    ) -> stored.StoredObject:
        """Replaces what the writer of an object has written.

        Raises:
            MissingError: If there is none.
            ConflictError: If it is at another revision than the one named.
        """
        known = self.get(kind, name)
        _check_revision(known, wanted.metadata.revision)
        if known.spec == wanted.spec:
            return known
        changed = msgspec.structs.replace(known, spec=wanted.spec)
        return await self._put(kind, changed, known.metadata.create_revision)

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Removes an object.

        Raises:
            MissingError: If there is none.
            ConflictError: If it is at another revision than the one named.
        """
        known = self.get(kind, name)
        _check_revision(known, revision)
        del self._objects[kind, name]
        await self._note(kind, known, known.metadata.create_revision, True)

    async def changes(
        self, kind: str, after: int, wait_s: float
    ) -> list[stored.Change]:
        """Waits for changes of a kind after a revision.

        Raises:
            HistoryGoneError: If some of them are no longer kept.
        """

        def found() -> list[stored.Change]:
            if after < self._forgotten_revision:
                raise HistoryGoneError
            return [
                change
                for change in self._history
                if change.kind == kind and change.revision > after
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    return await self._changed.wait_for(found)
            except TimeoutError:
                return []

    async def forget_history(self) -> None:
        """Forgets every change; watches that wait are told."""
        async with self._changed:
            self._history.clear()
            self._forgotten_revision = self.revision
            self._changed.notify_all()

    async def _put(
        self, kind: str, wanted: stored.StoredObject, create_revision: int
    ) -> stored.StoredObject:
        kept = await self._note(kind, wanted, create_revision, False)
        self._objects[kind, kept.metadata.name] = kept
        return kept

    async def _note(
        self,
        kind: str,
        changed: stored.StoredObject,
        create_revision: int,
        removed: bool,
    ) -> stored.StoredObject:
        async with self._changed:
            self.revision += 1
            metadata = msgspec.structs.replace(
                changed.metadata,
                revision=self.revision,
                create_revision=create_revision,
            )
            kept = msgspec.structs.replace(changed, metadata=metadata)
            self._history.append(stored.Change(kind, kept, removed))
            self._changed.notify_all()
        return kept


def _check_revision(known: stored.StoredObject, revision: int) -> None:
    if revision and revision != known.metadata.revision:
        raise ConflictError(known)
