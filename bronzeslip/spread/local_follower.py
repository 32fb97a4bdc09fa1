"""Hands the objects of a prefix to a part of the same process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from bronzeslip.spread import change
from bronzeslip.spread import prefix_state
from bronzeslip.store import objects

OnList = Callable[[objects.ObjectList], Awaitable[None]]
OnEvent = Callable[[objects.ObjectEvent], Awaitable[None]]


class LocalFollower:
    """Calls two callbacks as platform.follower.PrefixFollower does."""

    def __init__(
        self,
        state: prefix_state.PrefixState,
        prefix: str,
        on_list: OnList,
        on_event: OnEvent,
    ) -> None:
        """Creates a follower.

        Args:
            state: State that holds the prefix.
            prefix: Start of the keys followed.
            on_list: Called with the whole state at the start and whenever
                events were missed.
            on_event: Called with each later change, in order.
        """
        self._state = state
        self._prefix = prefix
        self._on_list = on_list
        self._on_event = on_event

    async def run(self) -> None:
        """Follows until cancelled."""
        changed = asyncio.Event()
        self._state.add_listener(changed.set)
        version = change.UNKNOWN_VERSION
        try:
            while True:
                changed.clear()
                found = self._state.change_after(version, self._prefix)
                if isinstance(found, change.Snapshot):
                    version = found.listed.version
                    await self._on_list(found.listed)
                elif isinstance(found, change.Delta):
                    version = found.version
                    for event in found.events:
                        await self._on_event(event)
                else:
                    await changed.wait()
        finally:
            self._state.remove_listener(changed.set)
