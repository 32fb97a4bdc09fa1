"""Bounds how many engines of a pool change at once."""

from collections.abc import Callable

from bronzeslip.orders import lease_keeper


class RolloutSlots:
    """Slots of one pool, each a lease."""

    def __init__(
        self, keeper_of: Callable[[int], lease_keeper.LeaseKeeper]
    ) -> None:
        """Creates the slots of a pool.

        Args:
            keeper_of: Creates the keeper of the lease of a numbered slot.
        """
        self._keeper_of = keeper_of
        self._keepers: list[lease_keeper.LeaseKeeper] = []

    async def try_acquire(
        self, count: int, first: int
    ) -> lease_keeper.LeaseKeeper | None:
        """Takes a free slot.

        Args:
            count: Number of slots of the pool.
            first: Slot to try first, so that waiting engines spread.

        Returns:
            The keeper of the slot taken, or None if none was free.
        """
        while len(self._keepers) < count:
            self._keepers.append(self._keeper_of(len(self._keepers)))
        for offset in range(count):
            keeper = self._keepers[(first + offset) % count]
            if await keeper.try_acquire():
                return keeper
        return None
