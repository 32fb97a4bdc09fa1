"""Compressed form of objects and events."""

import functools
import zlib

import msgspec

from bronzeslip.platform import objects
from bronzeslip.transport import errors

_LEVEL = 6
_CACHED_PACKS = 64
_MAX_UNPACKED_BYTES = 256_000_000

_Events = tuple[objects.ObjectEvent, ...]


def pack_list(listed: objects.ObjectList) -> bytes:
    """Compresses an object list."""
    return zlib.compress(msgspec.json.encode(listed), _LEVEL)


def pack_events(events: _Events) -> bytes:
    """Compresses events; followers at the same version share the result."""
    return _pack_events(_PackedOnce(events))


def unpack_list(data: bytes) -> objects.ObjectList:
    """Reads a compressed object list.

    Raises:
        errors.BadFrameError: If it is unreadable.
    """
    return _unpack(data, objects.ObjectList)


def unpack_events(data: bytes) -> _Events:
    """Reads compressed events.

    Raises:
        errors.BadFrameError: If they are unreadable.
    """
    return _unpack(data, _Events)


class _PackedOnce:
    """Events compared by their keys and versions alone."""

    def __init__(self, events: _Events) -> None:
        self.events = events
        self._identity = tuple((event.key, event.version) for event in events)

    def __hash__(self) -> int:
        return hash(self._identity)

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, _PackedOnce) and self._identity == other._identity
        )


@functools.lru_cache(maxsize=_CACHED_PACKS)
def _pack_events(wanted: _PackedOnce) -> bytes:
    return zlib.compress(msgspec.json.encode(wanted.events), _LEVEL)


def _unpack(data: bytes, wanted: type) -> object:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, _MAX_UNPACKED_BYTES)
        return msgspec.json.decode(text, type=wanted)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.BadFrameError(str(error)) from error
