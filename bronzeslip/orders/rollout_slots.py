"""Bounds how many engines of a pool change concurrently."""

from collections.abc import Callable

from bronzeslip.orders import lease_keeper


class RolloutSlots:
    """Rollout slots of one pool, each represented by a lease."""

    def __init__(
        self, lease_of: Callable[[int], lease_keeper.LeaseHandle]
    ) -> None:
        """Creates the slots of a pool.

        Args:
            lease_of: Creates the lease of a numbered slot.
        """
        self._lease_of = lease_of
        self._leases: list[lease_keeper.LeaseHandle] = []

    async def try_acquire(
        self, count: int, first: int
    ) -> lease_keeper.LeaseHandle | None:
        """Acquires a free slot.

        Args:
            count: Number of slots of the pool.
            first: Slot to try first; differs by engine to spread waiting
                engines over the slots.

        Returns:
            The lease of the acquired slot, or None if none was free.
        """
        while len(self._leases) < count:
            self._leases.append(self._lease_of(len(self._leases)))
        for offset in range(count):
            lease = self._leases[(first + offset) % count]
            if await lease.try_acquire():
                return lease
        return None
