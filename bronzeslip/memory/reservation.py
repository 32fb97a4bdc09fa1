"""Bytes of a memory pool that one holder has reserved."""

from types import TracebackType
from typing import Self

from bronzeslip.memory import pool


class Reservation:
    """Reserves bytes of a pool until it is released.

    Attributes:
        size_bytes: Bytes that are reserved.
    """

    __slots__ = ("_pool", "size_bytes")

    def __init__(self, memory_pool: pool.MemoryPool) -> None:
        """Creates a reservation of no bytes."""
        self._pool = memory_pool
        self.size_bytes = 0

    @property
    def is_pool_short(self) -> bool:
        """Whether others wait for room in the pool or little is left."""
        return self._pool.is_short

    @property
    def max_bytes(self) -> int:
        """Largest size that can be waited for."""
        return self._pool.capacity_bytes - self._pool.reserve_bytes

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def create_sibling(self) -> Self:
        """Returns an empty reservation of the same pool."""
        return type(self)(self._pool)

    def try_resize(self, size_bytes: int, is_small: bool = False) -> bool:
        """Changes the size if there is room.

        Args:
            size_bytes: New size.
            is_small: Whether the reserve of the pool may be used.

        Returns:
            Whether the reservation has the new size.
        """
        missing_bytes = size_bytes - self.size_bytes
        if missing_bytes <= 0:
            self.shrink(size_bytes)
            return True
        if not self._pool.try_take(missing_bytes, is_small):
            return False
        self.size_bytes = size_bytes
        return True

    async def grow(self, size_bytes: int, wait_s: float | None = None) -> None:
        """Grows to a size, waiting for room.

        Args:
            size_bytes: New size; a smaller one changes nothing.
            wait_s: Maximum wait, in seconds, or None to wait for as long as
                it takes.

        Raises:
            errors.MemoryShortError: If there is no room in that time.
        """
        missing_bytes = size_bytes - self.size_bytes
        if missing_bytes > 0:
            await self._pool.take(missing_bytes, wait_s)
            self.size_bytes += missing_bytes

    def force(self, size_bytes: int) -> None:
        """Sets the size, whether or not there is room."""
        if size_bytes > self.size_bytes:
            self._pool.force(size_bytes - self.size_bytes)
            self.size_bytes = size_bytes
        else:
            self.shrink(size_bytes)

    def shrink(self, size_bytes: int) -> None:
        """Gives back what exceeds a size."""
        if size_bytes < self.size_bytes:
            freed_bytes = self.size_bytes - size_bytes
            self.size_bytes = size_bytes
            self._pool.give_back(freed_bytes)

    def release(self) -> None:
        """Gives back all bytes; may be called again."""
        self.shrink(0)
