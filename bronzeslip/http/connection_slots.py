"""Bounds the number of open connections and what they hold."""

from typing import Protocol

from bronzeslip.memory import pool

# Memory of an open connection without a request.
CONNECTION_BYTES = 10 * 1024
# The rest of the memory is for the requests on these connections.
MEMORY_SHARE = 0.5
_FILE_DESCRIPTORS = 200
# The rest is for outgoing connections and for other listeners.
DESCRIPTOR_SHARE = 0.55
# A connection that has waited for its peer for less is likely to go on at once.
_MIN_WAIT_S = 0.5
# Open connections without a slot, whose requests are read to be refused.
_MAX_REFUSED = 128
# When memory is short, connections that hold less are closed last: each of
# them frees little.
_LIGHT_BYTES = 16 * 1024


class Evictable(Protocol):
    """A connection that may be closed while it waits for its peer."""

    def evict(self) -> None:
        """Closes the connection."""


class ConnectionSlots:
    """Counts open connections and the bytes that they hold.

    Connections that wait for their peer are closed to make room: idle ones, and
    those whose peer has stopped sending a request or reading a response.

    Attributes:
        max_count: Maximum number of connections, or None.
        max_bytes: Maximum of the bytes held by all connections, or None.
        held_bytes: Bytes held by all connections.
        refused_count: Connections for which there was no slot.
        evicted_count: Connections that were closed for others.
        closed_counts: Connections closed by the process, by reason.
    """

    def __init__(
        self,
        max_count: int | None = None,
        memory_pool: pool.MemoryPool | None = None,
        max_bytes: int | None = None,
    ) -> None:
        """Creates slots that are all free.

        Args:
            max_count: Maximum number of connections, or None.
            memory_pool: Memory that the connections take, or None.
            max_bytes: Maximum of the bytes held by all connections, or None.
        """
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused_count = 0
        self.evicted_count = 0
        self.closed_counts: dict[str, int] = {}
        self._pool = memory_pool
        self._refused: set[Evictable] = set()
        self._open: dict[Evictable, int] = {}
        # Times since which connections wait for their peer, the longest first.
        self._waiting_since_s: dict[Evictable, float] = {}

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
        has_room = not is_full or self._evict_longest(now_s)
        if not has_room or not self._make_room(CONNECTION_BYTES, now_s):
            self.refused_count += 1
            self._refused.add(connection)
            return False
        self._open[connection] = CONNECTION_BYTES
        self._waiting_since_s[connection] = now_s
        self._change_held(CONNECTION_BYTES)
        return True

    def begin(self, connection: Evictable) -> None:
        """Marks a connection as busy: it does not wait for its peer."""
        self._waiting_since_s.pop(connection, None)

    def end(self, connection: Evictable, now_s: float) -> None:
        """Marks a connection as waiting for its peer from now on."""
        if connection in self._open:
            self._waiting_since_s.pop(connection, None)
            self._waiting_since_s[connection] = now_s

    def hold(
        self, connection: Evictable, size_bytes: int, now_s: float
    ) -> bool:
        """Sets what a connection holds beside its own memory.

        Others are closed if that exceeds what all may hold.

        Args:
            connection: The connection.
            size_bytes: Bytes that it holds already.
            now_s: Current time, in seconds.

        Returns:
            Whether it may go on to hold them.
        """
        if connection not in self._open:
            return False
        change_bytes = size_bytes + CONNECTION_BYTES - self._open[connection]
        if not self._make_room(change_bytes, now_s, connection):
            return False
        self._open[connection] += change_bytes
        self._change_held(change_bytes)
        return True

    def close(self, connection: Evictable) -> None:
        """Frees the slot of a connection, if it has one."""
        self._refused.discard(connection)
        self._waiting_since_s.pop(connection, None)
        size_bytes = self._open.pop(connection, None)
        if size_bytes is not None:
            self._change_held(-size_bytes)

    def count_closed(self, reason: str) -> None:
        """Counts a connection that the process closes."""
        self.closed_counts[reason] = self.closed_counts.get(reason, 0) + 1

    def _change_held(self, change_bytes: int) -> None:
        self.held_bytes += change_bytes
        if self._pool is not None:
            self._pool.change_standing(change_bytes)

    def _make_room(
        self, size_bytes: int, now_s: float, spared: Evictable | None = None
    ) -> bool:
        """Closes connections until further bytes may be held."""
        if self.max_bytes is None or size_bytes <= 0:
            return True
        while self.held_bytes + size_bytes > self.max_bytes:
            connection = self._heaviest_waiting(now_s, spared)
            if connection is None:
                return False
            self._evict(connection)
        return True

    def _heaviest_waiting(
        self, now_s: float, spared: Evictable | None
    ) -> Evictable | None:
        """Returns the longest waiting one of those that hold much, if any."""
        first = None
        for connection, since_s in self._waiting_since_s.items():
            if now_s - since_s < _MIN_WAIT_S:
                break
            if connection is spared:
                continue
            if self._open[connection] >= _LIGHT_BYTES:
                return connection
            first = first or connection
        return first

    def _evict_longest(self, now_s: float) -> bool:
        """Closes the connection that has waited for the longest time."""
        connection = next(iter(self._waiting_since_s), None)
        if connection is None:
            return False
        if now_s - self._waiting_since_s[connection] < _MIN_WAIT_S:
            return False
        self._evict(connection)
        return True

    def _evict(self, connection: Evictable) -> None:
        self.close(connection)
        self.evicted_count += 1
        connection.evict()


def create(
    memory_pool: pool.MemoryPool,
    max_descriptors: int | None,
    memory_share: float = MEMORY_SHARE,
    descriptor_share: float = DESCRIPTOR_SHARE,
) -> ConnectionSlots:
    """Creates the slots of a listener, or of several that share them.

    Args:
        memory_pool: Memory that the connections take.
        max_descriptors: Maximum number of open file descriptors, or None.
        memory_share: Share of the memory that connections may hold.
        descriptor_share: Share of the descriptors that they may use.
    """
    max_bytes = int(memory_pool.capacity_bytes * memory_share)
    max_count = max_bytes // CONNECTION_BYTES
    if max_descriptors is not None:
        sockets = max(max_descriptors - _FILE_DESCRIPTORS, 0)
        max_count = min(max_count, int(sockets * descriptor_share))
    return ConnectionSlots(max(max_count, 1), memory_pool, max_bytes)
