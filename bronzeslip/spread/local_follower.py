"""Follows a prefix in the replicated state of the same process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.spread import change
from bronzeslip.spread import prefix_state
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

OnList = Callable[[objects.ObjectList], Awaitable[None]]
OnEvent = Callable[[objects.ObjectEvent], Awaitable[None]]


class LocalFollower:
    """Passes every change under a prefix of a local state to callbacks.

    The callbacks are those of store.follower.PrefixFollower.
    """

    def __init__(
        self,
        state: prefix_state.PrefixState,
        prefix: str,
        on_list: OnList,
        on_event: OnEvent,
    ) -> None:
        """Creates a follower.

        Args:
            state: State that contains the prefix.
            prefix: Prefix of the keys to follow.
            on_list: Called with the complete list at the start and whenever
                events were missed.
            on_event: Called with each later change, in version order.
        """
        self._state = state
        self._prefix = prefix
        self._on_list = on_list
        self._on_event = on_event

    async def run(self) -> None:
        """Delivers changes until cancelled."""
        state_changed = asyncio.Event()
        self._state.add_listener(state_changed.set)
        version = change.UNKNOWN_VERSION
        try:
            while True:
                state_changed.clear()
                update = self._state.changes_since(version, self._prefix)
                if isinstance(update, change.Snapshot):
                    version = update.listed.version
                    await self._on_list(update.listed)
                elif isinstance(update, change.Delta):
                    version = update.version
                    for event in update.events:
                        with isolation.isolated(
                            logger, "spread.event_failed", key=event.key
                        ):
                            await self._on_event(event)
                else:
                    await state_changed.wait()
        finally:
            self._state.remove_listener(state_changed.set)
