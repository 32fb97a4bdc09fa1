"""Bounded log of the latest events of a prefix."""

import collections

from bronzeslip import ids
from bronzeslip.store import objects

MAX_EVENTS = 2_000
MAX_BYTES = 4_000_000


class EventLog:
    """Events after a base version, limited in number and total size."""

    def __init__(self, base: ids.ObjectVersion) -> None:
        self._base = base
        self._events: collections.deque[objects.ObjectEvent] = (
            collections.deque()
        )
        self._size_bytes = 0

    def append(self, event: objects.ObjectEvent) -> None:
        """Appends the newest event and drops the oldest over the limits."""
        self._events.append(event)
        self._size_bytes += len(event.value)
        while len(self._events) > MAX_EVENTS or self._size_bytes > MAX_BYTES:
            dropped = self._events.popleft()
            self._size_bytes -= len(dropped.value)
            self._base = dropped.version

    def events_since(
        self, version: ids.ObjectVersion
    ) -> tuple[objects.ObjectEvent, ...] | None:
        """Returns the events after a version, or None if some were dropped."""
        if version < self._base:
            return None
        newer: list[objects.ObjectEvent] = []
        for event in reversed(self._events):
            if event.version <= version:
                break
            newer.append(event)
        return tuple(reversed(newer))
