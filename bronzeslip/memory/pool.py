"""A part of the memory budget, from which reservations are taken."""

import asyncio
import collections

from bronzeslip.memory import errors
from bronzeslip.memory import waiter

_SHORT_SHARE = 0.75


class MemoryPool:
    """Counts the bytes that are taken and lets others wait for room.

    Those that wait are served in the order of their arrival.

    Attributes:
        capacity_bytes: Bytes that may be taken.
        reserve_bytes: Part of these that is left to small reservations.
        taken_bytes: Bytes that are taken.
        standing_bytes: Part of the taken bytes that does not become free as
            requests end.
        is_closed: Whether all reservations are refused.
        refused_count: Reservations that were refused.
    """

    def __init__(self, capacity_bytes: int, reserve_bytes: int = 0) -> None:
        """Creates a pool from which nothing is taken."""
        self.capacity_bytes = capacity_bytes
        self.reserve_bytes = reserve_bytes
        self.taken_bytes = 0
        self.standing_bytes = 0
        self.is_closed = False
        self.refused_count = 0
        self._waiters: collections.deque[waiter.Waiter] = collections.deque()

    @property
    def is_short(self) -> bool:
        """Whether others wait for room or little is left."""
        if self._waiters:
            return True
        return self.taken_bytes > self.capacity_bytes * _SHORT_SHARE

    @property
    def waiting_count(self) -> int:
        """Number of reservations that wait for room."""
        return len(self._waiters)

    def try_take(self, size_bytes: int, is_small: bool = False) -> bool:
        """Takes bytes if there is room, ahead of those that wait.

        Args:
            size_bytes: Bytes to take.
            is_small: Whether the reserve may be used.

        Returns:
            Whether the bytes were taken.
        """
        if self.is_closed:
            return False
        max_bytes = self.capacity_bytes
        if not is_small:
            max_bytes -= self.reserve_bytes
        if self.taken_bytes + size_bytes > max_bytes:
            return False
        self.taken_bytes += size_bytes
        return True

    async def take(self, size_bytes: int, wait_s: float | None) -> None:
        """Takes bytes, waiting for room behind those that wait already.

        The reserve is not used.

        Args:
            size_bytes: Bytes to take.
            wait_s: Maximum wait, in seconds, or None to wait for as long as
                it takes.

        Raises:
            errors.MemoryShortError: If there is no room in that time, or the
                pool is smaller than that.
        """
        if not self._waiters and self.try_take(size_bytes):
            return
        max_bytes = self.capacity_bytes - self.reserve_bytes
        if self.is_closed or size_bytes > max_bytes:
            self.refuse(size_bytes)
        await self._wait(size_bytes, wait_s)

    def refuse(self, size_bytes: int) -> None:
        """Counts a reservation that is refused.

        Raises:
            errors.MemoryShortError: Always.
        """
        self.refused_count += 1
        raise errors.MemoryShortError(
            f"no room for {size_bytes} bytes: {self.taken_bytes} of "
            f"{self.capacity_bytes} are taken"
        )

    def force(self, size_bytes: int) -> None:
        """Takes bytes that are held already, whether or not there is room."""
        self.taken_bytes += size_bytes

    def change_standing(self, change_bytes: int) -> None:
        """Takes or gives back bytes that are held without a request."""
        self.standing_bytes += change_bytes
        if change_bytes > 0:
            self.force(change_bytes)
        else:
            self.give_back(-change_bytes)

    def give_back(self, size_bytes: int) -> None:
        """Gives back bytes and wakes those that fit now."""
        self.taken_bytes -= size_bytes
        self._wake()

    async def _wait(self, size_bytes: int, wait_s: float | None) -> None:
        waiting = waiter.Waiter(
            size_bytes, asyncio.get_running_loop().create_future()
        )
        self._waiters.append(waiting)
        try:
            async with asyncio.timeout(wait_s):
                await waiting.granted
        except BaseException as error:
            self._abandon(waiting)
            if isinstance(error, TimeoutError):
                self.refuse(size_bytes)
            raise

    def _abandon(self, waiting: waiter.Waiter) -> None:
        if waiting in self._waiters:
            self._waiters.remove(waiting)
            self._wake()
        elif waiting.is_granted:
            # Granted in the same turn in which the wait was cancelled.
            self.give_back(waiting.size_bytes)

    def _wake(self) -> None:
        while self._waiters and self.try_take(self._waiters[0].size_bytes):
            self._waiters.popleft().grant()
