"""Splits a byte stream into complete server-sent events."""

from collections.abc import Iterable
import re

import msgspec

# Begins with a literal: 64 KiB without one are searched in 0.06 ms. With the
# optional carriage return before it, they took 1.45 ms.
_EVENT_END = re.compile(rb"\n\r?\n")
_MAX_EVENT_END_BYTES = 4
_ID_FIELD = b"id:"


class EventBlock(msgspec.Struct, frozen=True):
    """Complete events that arrived together.

    Attributes:
        data: Raw bytes of the events.
        count: Number of events.
        last_event_id: Id of the last event that has one, or None.
    """

    data: bytes
    count: int
    last_event_id: str | None

    @property
    def first_event_id(self) -> str | None:
        """Id of the first event that has one, or None."""
        return _first_id(self.data.splitlines())


class EventFramer:
    """Buffers the bytes of an event until it is complete.

    If an engine crashes, its stream may end in the middle of an event. A run
    that resumes on another engine then sends that event from its start.

    Attributes:
        pieces: Number of chunks that the incomplete event has arrived in.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.pieces = 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, chunk: bytes) -> EventBlock | None:
        """Adds bytes and returns the events completed by them, or None.

        Only the new bytes are searched, so that an event that arrives in many
        chunks does not cost the square of its size.
        """
        searched_bytes = len(self._buffer) - _MAX_EVENT_END_BYTES + 1
        self._buffer += chunk
        self.pieces += 1
        ends = [
            match.end()
            for match in _EVENT_END.finditer(
                self._buffer, max(searched_bytes, 0)
            )
        ]
        if not ends:
            return None
        data = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]
        self.pieces = 1 if self._buffer else 0
        return EventBlock(data, len(ends), _last_id(data))


def _last_id(data: bytes) -> str | None:
    return _first_id(reversed(data.splitlines()))


def _first_id(lines: Iterable[bytes]) -> str | None:
    for line in lines:
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None
