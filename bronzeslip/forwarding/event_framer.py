"""Splits a stream of bytes into whole events."""

import msgspec

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventBlock(msgspec.Struct, frozen=True):
    """Whole events that arrived together.

    Attributes:
        data: Their bytes.
        count: Their number.
        last_event_id: Id of the last of them that has one, or None.
    """

    data: bytes
    count: int
    last_event_id: str | None


class EventFramer:
    """Holds back the bytes of an event until it is whole.

    An engine that crashes may cut its stream in the middle of an event; a
    run that goes on elsewhere then sends that event from its start.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._remainder

    def feed(self, chunk: bytes) -> EventBlock | None:
        """Takes bytes; returns the events that are whole now, or None."""
        whole, separator, remainder = (self._remainder + chunk).rpartition(
            _EVENT_END
        )
        self._remainder = remainder
        if not separator:
            return None
        data = whole + separator
        return EventBlock(data, data.count(_EVENT_END), _last_id(data))


def _last_id(data: bytes) -> str | None:
    for line in reversed(data.splitlines()):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None
