"""Splits a byte stream into complete server-sent events."""

import re

import msgspec

_EVENT_END = re.compile(rb"\r?\n\r?\n")
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


class EventFramer:
    """Buffers the bytes of an event until it is complete.

    If an engine crashes, its stream may end in the middle of an event. A run
    that resumes on another engine then sends that event from its start.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._remainder.strip(b"\r\n"))

    def feed(self, chunk: bytes) -> EventBlock | None:
        """Adds bytes and returns the events completed by them, or None."""
        received = self._remainder + chunk
        ends = [match.end() for match in _EVENT_END.finditer(received)]
        complete_bytes = ends[-1] if ends else 0
        self._remainder = received[complete_bytes:]
        if not ends:
            return None
        data = received[:complete_bytes]
        return EventBlock(data, len(ends), _last_id(data))


def _last_id(data: bytes) -> str | None:
    for line in reversed(data.splitlines()):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None
