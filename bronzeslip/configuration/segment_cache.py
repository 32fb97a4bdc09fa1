"""Decoded segments of the configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import errors
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segments
from bronzeslip.store import objects


class CachedSegment(msgspec.Struct, frozen=True):
    """One segment and the version of its object."""

    part: document.Document
    version: ids.ObjectVersion


class SegmentCache:
    """Segments by name; a segment is written once and never changes."""

    def __init__(self) -> None:
        self._segments: dict[manifest.SegmentName, CachedSegment] = {}

    def add(self, stored: objects.PlatformObject) -> None:
        """Decodes a segment, once.

        Raises:
            errors.InvalidDocumentError: If it is unreadable.
        """
        name = stored.key.removeprefix(manifest.SEGMENTS_PREFIX)
        if name in self._segments:
            return
        part = _decode(stored.value, document.Document)
        self._segments[name] = CachedSegment(part, stored.version)

    def remove(self, key: ids.ObjectKey) -> None:
        """Forgets a segment."""
        self._segments.pop(key.removeprefix(manifest.SEGMENTS_PREFIX), None)

    def object_version(self, name: manifest.SegmentName) -> ids.ObjectVersion:
        """Returns the version of a segment's object."""
        return self._segments[name].version

    def find(self, name: manifest.SegmentName) -> document.Document | None:
        """Returns a decoded segment, or None."""
        stored = self._segments.get(name)
        return stored.part if stored else None

    def names(self) -> tuple[manifest.SegmentName, ...]:
        """Lists the segments held."""
        return tuple(self._segments)

    def has_all_segments(self, root: manifest.Manifest) -> bool:
        """Tells whether every segment of a configuration is here."""
        return all(name in self._segments for name in root.segments.values())

    def assemble(self, root: manifest.Manifest) -> record.ConfigurationRecord:
        """Puts a configuration together; every segment must be here."""
        parts = [self._segments[name].part for name in root.segments.values()]
        return record.ConfigurationRecord(
            root.number, segments.join(parts), root.recent_patches
        )


def decode_manifest(stored: objects.PlatformObject) -> manifest.Manifest:
    """Decodes the stored root.

    Raises:
        errors.InvalidDocumentError: If it is unreadable.
    """
    return _decode(stored.value, manifest.Manifest)


def _decode(value: msgspec.Raw, target_type: type) -> object:
    try:
        return msgspec.json.decode(value, type=target_type)
    except msgspec.MsgspecError as error:
        raise errors.InvalidDocumentError(str(error)) from error
