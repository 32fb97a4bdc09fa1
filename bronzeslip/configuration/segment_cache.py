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

    def add(self, found: objects.PlatformObject) -> None:
        """Decodes a segment, once.

        Raises:
            errors.InvalidDocumentError: If it is unreadable.
        """
        name = found.key.removeprefix(manifest.SEGMENTS_PREFIX)
        if name in self._segments:
            return
        part = _decode(found.value, document.Document)
        self._segments[name] = CachedSegment(part, found.version)

    def remove(self, key: ids.ObjectKey) -> None:
        """Forgets a segment."""
        self._segments.pop(key.removeprefix(manifest.SEGMENTS_PREFIX), None)

    def version_of(self, name: manifest.SegmentName) -> ids.ObjectVersion:
        """Returns the version of a segment's object."""
        return self._segments[name].version

    def part_of(self, name: manifest.SegmentName) -> document.Document | None:
        """Returns a decoded segment, or None."""
        found = self._segments.get(name)
        return found.part if found else None

    def names(self) -> tuple[manifest.SegmentName, ...]:
        """Lists the segments held."""
        return tuple(self._segments)

    def holds(self, root: manifest.Manifest) -> bool:
        """Tells whether every segment of a configuration is here."""
        return all(name in self._segments for name in root.segments.values())

    def record_of(self, root: manifest.Manifest) -> record.ConfigurationRecord:
        """Puts a configuration together; every segment must be here."""
        parts = [self._segments[name].part for name in root.segments.values()]
        return record.ConfigurationRecord(
            root.number, segments.join(parts), root.recent_patches
        )


def decode_manifest(found: objects.PlatformObject) -> manifest.Manifest:
    """Decodes the stored root.

    Raises:
        errors.InvalidDocumentError: If it is unreadable.
    """
    return _decode(found.value, manifest.Manifest)


def _decode(value: msgspec.Raw, wanted: type) -> object:
    try:
        return msgspec.json.decode(value, type=wanted)
    except msgspec.MsgspecError as error:
        raise errors.InvalidDocumentError(str(error)) from error
