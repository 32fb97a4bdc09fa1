"""Cache of the decoded segments of a configuration document."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import errors
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segments
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.store import objects


class CachedSegment(msgspec.Struct, frozen=True):
    """A decoded segment and the version of its platform object."""

    part: document.Document
    version: ids.ObjectVersion


class SegmentCache:
    """Caches segments by name; segments are immutable once written."""

    def __init__(self) -> None:
        self._segments: dict[manifest.SegmentName, CachedSegment] = {}

    def add(self, stored: objects.PlatformObject) -> None:
        """Decodes and caches a segment unless it is already cached.

        Raises:
            errors.InvalidDocumentError: If the segment cannot be decoded.
        """
        name = stored.key.removeprefix(manifest.SEGMENTS_PREFIX)
        if name in self._segments:
            return
        part = _decode(stored.value, document.Document)
        self._segments[name] = CachedSegment(part, stored.version)

    def remove(self, key: ids.ObjectKey) -> None:
        """Removes a segment from the cache."""
        self._segments.pop(key.removeprefix(manifest.SEGMENTS_PREFIX), None)

    def object_version(self, name: manifest.SegmentName) -> ids.ObjectVersion:
        """Returns the version of a segment's platform object."""
        return self._segments[name].version

    def find(self, name: manifest.SegmentName) -> document.Document | None:
        """Returns a cached segment, or None."""
        cached = self._segments.get(name)
        return cached.part if cached else None

    def names(self) -> tuple[manifest.SegmentName, ...]:
        """Lists the names of the cached segments."""
        return tuple(self._segments)

    def has_all_segments(self, root: manifest.Manifest) -> bool:
        """Returns whether every segment of a manifest is cached."""
        return all(name in self._segments for name in root.segments.values())

    def assemble(self, root: manifest.Manifest) -> record.ConfigurationRecord:
        """Joins the segments of a manifest; every segment must be cached."""
        parts = [self._segments[name].part for name in root.segments.values()]
        return record.ConfigurationRecord(
            root.number, segments.join(parts), root.recent_patches
        )


def decode_manifest(stored: objects.PlatformObject) -> manifest.Manifest:
    """Decodes the stored manifest.

    Raises:
        errors.InvalidDocumentError: If the manifest cannot be decoded.
    """
    return _decode(stored.value, manifest.Manifest)


def _decode(value: msgspec.Raw, target_type: type) -> object:
    try:
        return untrusted.from_json(value, target_type)
    except decoding_errors.UndecodableError as error:
        raise errors.InvalidDocumentError(error.message) from error
