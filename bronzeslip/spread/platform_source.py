"""Updates a hub from the platform."""

import asyncio
import time

from bronzeslip import ids
from bronzeslip.spread import hub
from bronzeslip.spread import prefix_state
from bronzeslip.store import client
from bronzeslip.store import follower
from bronzeslip.store import objects
from bronzeslip.transport import workers


class PlatformSource:
    """Watches every prefix of a hub, or lists prefixes once."""

    def __init__(
        self, platform: client.PlatformClient, target: hub.PrefixHub
    ) -> None:
        self._platform = platform
        self._target = target
        self._last_progress_at_s: dict[str, float] = {}

    def age_s(self) -> float:
        """Returns the time since the last watch response, in seconds.

        The prefix whose last response is the oldest counts.
        """
        oldest_s = min(
            self._last_progress_at_s.get(state.prefix, -float("inf"))
            for state in self._target.states()
        )
        return time.monotonic() - oldest_s

    async def watch(self) -> None:
        """Watches every prefix until cancelled."""
        await workers.run_together(
            *(
                self._create_follower(state).run()
                for state in self._target.states()
            )
        )

    async def read(self, prefixes: tuple[str, ...]) -> None:
        """Lists the objects of prefixes once and replaces their states.

        Raises:
            store.errors.PlatformError: If a call to the platform fails.
        """
        for prefix in prefixes:
            state = self._target.state(prefix)
            state.replace(await self._platform.list_objects(prefix))
            state.confirm()
            await asyncio.sleep(0)

    def _create_follower(
        self, state: prefix_state.PrefixState
    ) -> follower.PrefixFollower:
        async def on_list(object_list: objects.ObjectList) -> None:
            state.replace(object_list)

        async def on_event(event: objects.ObjectEvent) -> None:
            state.advance(state.version, event.version, (event,))

        def on_progress(version: ids.ObjectVersion) -> None:
            state.advance(state.version, version, ())
            state.confirm()
            self._last_progress_at_s[state.prefix] = time.monotonic()

        return follower.PrefixFollower(
            self._platform, state.prefix, on_list, on_event, on_progress
        )
