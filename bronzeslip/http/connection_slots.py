"""Bounds the number of open connections."""

from typing import Protocol

from bronzeslip.memory import pool

# Memory of an open connection without a request.
CONNECTION_BYTES = 10 * 1024
# A connection that was idle for less is likely to be used again at once.
_MIN_IDLE_S = 0.5
# Open connections without a slot, whose requests are read to be refused.
_MAX_REFUSED = 128


class Evictable(Protocol):
    """A connection that may be closed while it is idle."""

    def evict(self) -> None:
        """Closes the connection."""


class ConnectionSlots:
    """Counts open connections, and closes idle ones to make room.

    Attributes:
        max_count: Maximum number of connections, or None.
        refused_count: Connections for which there was no slot.
        evicted_count: Idle connections that were closed for others.
    """

    def __init__(
        self,
        max_count: int | None = None,
        memory_pool: pool.MemoryPool | None = None,
    ) -> None:
        """Creates slots that are all free.

        Args:
            max_count: Maximum number of connections, or None.
            memory_pool: Memory that the connections take, or None.
        """
        self.max_count = max_count
        self.refused_count = 0
        self.evicted_count = 0
        self._pool = memory_pool
        self._refused: set[Evictable] = set()
        self._open: set[Evictable] = set()
        # Times since which connections are idle, the longest first.
        self._idle_since_s: dict[Evictable, float] = {}

    @property
    def open_count(self) -> int:
        """Number of connections that have a slot."""
        return len(self._open)

    @property
    def has_too_many_refused(self) -> bool:
        """Whether too many connections without a slot are still open."""
        return len(self._refused) > _MAX_REFUSED

    def open(self, connection: Evictable, now_s: float) -> bool:
        """Gives a new connection, which is idle, a slot.

        Args:
            connection: The connection.
            now_s: Current time, in seconds.

        Returns:
            Whether there is one.
        """
        is_full = (
            self.max_count is not None and len(self._open) >= self.max_count
        )
        if is_full and not self._evict(now_s):
            self.refused_count += 1
            self._refused.add(connection)
            return False
        self._open.add(connection)
        self._idle_since_s[connection] = now_s
        if self._pool is not None:
            self._pool.change_standing(CONNECTION_BYTES)
        return True

    def begin(self, connection: Evictable) -> None:
        """Marks a connection as busy: the head of a request has begun."""
        self._idle_since_s.pop(connection, None)

    def end(self, connection: Evictable, now_s: float) -> None:
        """Marks a connection as idle: its response has been sent."""
        if connection in self._open:
            self._idle_since_s.pop(connection, None)
            self._idle_since_s[connection] = now_s

    def close(self, connection: Evictable) -> None:
        """Frees the slot of a connection, if it has one."""
        self._refused.discard(connection)
        self._idle_since_s.pop(connection, None)
        if connection in self._open:
            self._open.remove(connection)
            if self._pool is not None:
                self._pool.change_standing(-CONNECTION_BYTES)

    def _evict(self, now_s: float) -> bool:
        """Closes the connection that has been idle for the longest time."""
        connection = next(iter(self._idle_since_s), None)
        if connection is None:
            return False
        if now_s - self._idle_since_s[connection] < _MIN_IDLE_S:
            return False
        self.close(connection)
        self.evicted_count += 1
        connection.evict()
        return True
