"""Compression of object lists and events."""

import zlib

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.spread import change
from bronzeslip.store import objects
from bronzeslip.transport import errors

_COMPRESSION_LEVEL = 6
_MAX_UNPACKED_BYTES = 256_000_000

_Events = tuple[objects.ObjectEvent, ...]


def pack_list(object_list: objects.ObjectList) -> bytes:
    """Compresses an object list."""
    return zlib.compress(msgspec.json.encode(object_list), _COMPRESSION_LEVEL)


class EventPacker:
    """Compresses events once for all followers at the same version."""

    def __init__(self) -> None:
        self._packed: dict[str, _PackedEvents] = {}

    def pack(self, prefix: str, delta: change.Delta) -> bytes:
        """Returns the compressed events; caches the last result per prefix."""
        cached = self._packed.get(prefix)
        if cached is None or cached.events != _event_ids(delta.events):
            data = zlib.compress(
                msgspec.json.encode(delta.events), _COMPRESSION_LEVEL
            )
            cached = _PackedEvents(_event_ids(delta.events), data)
            self._packed[prefix] = cached
        return cached.data


class _PackedEvents(msgspec.Struct, frozen=True):
    events: tuple[tuple[ids.ObjectKey, ids.ObjectVersion], ...]
    data: bytes


def _event_ids(
    events: _Events,
) -> tuple[tuple[ids.ObjectKey, ids.ObjectVersion], ...]:
    return tuple((event.key, event.version) for event in events)


def unpack_list(data: bytes) -> objects.ObjectList:
    """Decompresses an object list.

    Raises:
        errors.BadFrameError: If the data can't be decoded.
    """
    return _unpack(data, objects.ObjectList)


def unpack_events(data: bytes) -> _Events:
    """Decompresses events.

    Raises:
        errors.BadFrameError: If the data can't be decoded.
    """
    return _unpack(data, _Events)


def _unpack(data: bytes, expected_type: type) -> object:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_UNPACKED_BYTES)
        return untrusted.from_json(decompressed, expected_type)
    except (zlib.error, decoding_errors.UndecodableError) as error:
        raise errors.BadFrameError(str(error)) from error
