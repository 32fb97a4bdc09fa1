"""Compressed form of objects and events."""

import zlib

import msgspec

from bronzeslip import ids
from bronzeslip.spread import change
from bronzeslip.store import objects
from bronzeslip.transport import errors

_LEVEL = 6
_MAX_UNPACKED_BYTES = 256_000_000

_Events = tuple[objects.ObjectEvent, ...]


def pack_list(listed: objects.ObjectList) -> bytes:
    """Compresses an object list."""
    return zlib.compress(msgspec.json.encode(listed), _LEVEL)


class EventPacker:
    """Compresses events once for followers that are at the same version."""

    def __init__(self) -> None:
        self._packed: dict[str, _Packed] = {}

    def pack(self, prefix: str, delta: change.Delta) -> bytes:
        """Compresses the events that followers of a prefix are sent."""
        last = self._packed.get(prefix)
        if last is None or last.events != _identity(delta.events):
            data = zlib.compress(msgspec.json.encode(delta.events), _LEVEL)
            last = _Packed(_identity(delta.events), data)
            self._packed[prefix] = last
        return last.data


class _Packed(msgspec.Struct, frozen=True):
    events: tuple[tuple[ids.ObjectKey, ids.ObjectVersion], ...]
    data: bytes


def _identity(
    events: _Events,
) -> tuple[tuple[ids.ObjectKey, ids.ObjectVersion], ...]:
    return tuple((event.key, event.version) for event in events)


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


def _unpack(data: bytes, wanted: type) -> object:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, _MAX_UNPACKED_BYTES)
        return msgspec.json.decode(text, type=wanted)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.BadFrameError(str(error)) from error
