"""Holds calls before or after they take effect."""

import asyncio

from standins.platform import faults


class HoldPoint:
    """Makes matching calls wait until the hold is cleared."""

    def __init__(self) -> None:
        self._hold: faults.Hold | None = None
        self._changed = asyncio.Condition()
        self.held_count = 0

    async def set(self, hold: faults.Hold | None) -> None:
        """Sets the hold, or clears it if None."""
        async with self._changed:
            self._hold = hold
            self._changed.notify_all()

    async def wait_while_held(
        self, call: str, key: str, after_effect: bool
    ) -> None:
        """Waits while the hold matches this call.

        Args:
            call: Kind of call.
            key: Key of the object.
            after_effect: Whether the call has already taken effect.
        """
        if not self._matches(call, key, after_effect):
            return
        self.held_count += 1
        async with self._changed:
            await self._changed.wait_for(
                lambda: not self._matches(call, key, after_effect)
            )
        self.held_count -= 1

    def _matches(self, call: str, key: str, after_effect: bool) -> bool:
        hold = self._hold
        return (
            hold is not None
            and hold.call == call
            and key.startswith(hold.prefix)
            and hold.after_effect == after_effect
        )
