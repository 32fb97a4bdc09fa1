"""Reads and writes the platform objects of a numbered configuration."""

import asyncio
import secrets

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import history
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segment_cache
from bronzeslip.configuration import segments
from bronzeslip.store import client
from bronzeslip.store import errors
from bronzeslip.store import objects

_TOKEN_BYTES = 4
_MAX_CONCURRENT_CALLS = 8


class StoredConfiguration(msgspec.Struct, frozen=True):
    """A configuration as read from the platform.

    Attributes:
        root: The manifest.
        version: Version of the manifest's object, or None if there is no
            manifest yet.
        configuration: The assembled configuration.
    """

    root: manifest.Manifest
    version: ids.ObjectVersion | None
    configuration: record.ConfigurationRecord


class SegmentStore:
    """Stores the configuration as a manifest and segments.

    Its methods raise platform errors.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform
        self._cache = segment_cache.SegmentCache()
        self._call_limit = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def read(self) -> StoredConfiguration:
        """Reads the current configuration, including all segments."""
        stored = await self._platform.get(manifest.MANIFEST_KEY)
        if stored is None:
            return StoredConfiguration(manifest.EMPTY, None, record.EMPTY)
        root = segment_cache.decode_manifest(stored)
        if not self._cache.has_all_segments(root):
            stored = await self._load_all()
            root = segment_cache.decode_manifest(stored)
        return StoredConfiguration(
            root, stored.version, self._cache.assemble(root)
        )

    async def write_segments(
        self, base: manifest.Manifest, desired: document.Document
    ) -> dict[segments.Bucket, manifest.SegmentName]:
        """Writes the segments of a document that differ from its base.

        Returns:
            The names of all segments of the document by bucket.
        """
        number = ids.ConfigurationNumber(base.number + 1)
        token = secrets.token_hex(_TOKEN_BYTES)
        names: dict[segments.Bucket, manifest.SegmentName] = {}
        changed: dict[manifest.SegmentName, document.Document] = {}
        for bucket, part in segments.split(desired).items():
            name = base.segments.get(bucket, "")
            if self._cache.find(name) != part:
                name = manifest.segment_name(number, token, bucket)
                changed[name] = part
            names[bucket] = name
        await asyncio.gather(
            *(
                self._create_segment(name, part)
                for name, part in changed.items()
            )
        )
        return names

    async def write_manifest(
        self, root: manifest.Manifest, version: ids.ObjectVersion | None
    ) -> None:
        """Writes the manifest if the stored one still has the given version.

        This makes the configuration current. None as version requires that
        there is no manifest yet.
        """
        if version is None:
            await self._platform.create(manifest.MANIFEST_KEY, root)
        else:
            await self._platform.update(manifest.MANIFEST_KEY, root, version)

    async def remove_unused(self, current: manifest.Manifest) -> None:
        """Deletes cached segments that the current configuration does not use.

        Segments written for a higher number than the current one are kept:
        they may belong to a patch in progress.
        """
        used = set(current.segments.values())
        unused = [
            name
            for name in self._cache.names()
            if name not in used and _is_past(name, current)
        ]
        await asyncio.gather(*(self._delete_segment(name) for name in unused))

    async def _load_all(self) -> objects.PlatformObject:
        listed = await self._platform.list_objects(manifest.PREFIX)
        for stored in listed.objects:
            if stored.key.startswith(manifest.SEGMENTS_PREFIX):
                self._cache.add(stored)
        return next(
            stored
            for stored in listed.objects
            if stored.key == manifest.MANIFEST_KEY
        )

    async def _create_segment(
        self, name: manifest.SegmentName, part: document.Document
    ) -> None:
        key = manifest.segment_key(name)
        async with self._call_limit:
            try:
                created = await self._platform.create(key, part)
            except errors.PlatformUnavailableError:
                created = await self._platform.get(key)
                if created is None:
                    raise
        self._cache.add(created)

    async def _delete_segment(self, name: manifest.SegmentName) -> None:
        key = manifest.segment_key(name)
        async with self._call_limit:
            await history.delete_if_unchanged(
                self._platform, key, self._cache.object_version(name)
            )
        self._cache.remove(key)


def _is_past(name: manifest.SegmentName, current: manifest.Manifest) -> bool:
    number = manifest.number_from_name(name)
    return number is not None and number <= current.number
