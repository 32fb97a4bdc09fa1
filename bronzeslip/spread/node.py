"""Keeps the hub of a process up to date."""

import asyncio
from collections.abc import Callable
import random
import time

from bronzeslip import logs
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import errors
from bronzeslip.spread import hub
from bronzeslip.spread import platform_source
from bronzeslip.spread import relay_link
from bronzeslip.spread import status_aggregator
from bronzeslip.spread import upstream_selector
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors
from bronzeslip.transport import workers

logger = logs.get_logger(__name__)

_POLL_INTERVAL_S = 0.5
_MIN_FALLBACK_WATCH_DELAY_S = 2.0
_MAX_FALLBACK_WATCH_DELAY_S = 4.0
_MAX_FIRST_READ_DELAY_S = 0.5
_STALE_RELAY_TIMEOUT_S = 15.0
_MIN_READ_DELAY_S = 1.0
_MAX_READ_DELAY_S = 60.0
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.4


class ReplicationNode:
    """Updates a hub from the platform or from a relay.

    The gateways selected as watchers watch the platform. Every other process,
    and a watcher whose data is not fresh, follows a relay.
    """

    def __init__(
        self,
        settings: common.CommonSettings,
        role: member.MemberRole,
        platform: client.PlatformClient,
        target: hub.PrefixHub,
        aggregator: status_aggregator.StatusAggregator,
        members: directory.MemberDirectory,
    ) -> None:
        """Creates a node.

        Args:
            settings: Settings of the process.
            role: Role of the process.
            platform: Client of the platform.
            target: Hub to update.
            aggregator: Aggregator whose summary is reported to the relay.
            members: Known members, updated from the hub.
        """
        self._settings = settings
        self._role = role
        self._target = target
        self._aggregator = aggregator
        self._members = members
        self._selector = upstream_selector.UpstreamSelector(
            settings, role, members
        )
        self._source = platform_source.PlatformSource(platform, target)
        self._relay_connected = False
        self._relay_lost_at_s = -float("inf")
        self._fallback_watch_delay_s = random.uniform(
            _MIN_FALLBACK_WATCH_DELAY_S, _MAX_FALLBACK_WATCH_DELAY_S
        )

    async def run(self) -> None:
        """Updates the hub until cancelled."""
        await workers.run_together(
            self._watch_platform(), self._read_platform(), self._follow_relays()
        )

    def watches_platform(self) -> bool:
        """Returns whether this process watches the platform now.

        A gateway that is not selected as a watcher does so while it is not
        connected to a relay.
        """
        if self._role is not member.MemberRole.GATEWAY:
            return False
        if self._selector.is_watcher():
            return True
        if self._relay_connected:
            return False
        disconnected_s = time.monotonic() - self._relay_lost_at_s
        return (
            not self._target.synced
            or disconnected_s > self._fallback_watch_delay_s
        )

    async def _watch_platform(self) -> None:
        while True:
            await self._wait_until(self.watches_platform)
            await workers.run_until_first(
                self._source.watch(),
                self._wait_until(lambda: not self.watches_platform()),
            )

    async def _read_platform(self) -> None:
        """Lists the platform's objects while no source has fresh data."""
        await asyncio.sleep(random.uniform(0, _MAX_FIRST_READ_DELAY_S))
        while True:
            await self._wait_until(self._needs_read)
            delay_s = _MIN_READ_DELAY_S
            while self._needs_read():
                await self._read_once()
                next_read_at_s = time.monotonic() + delay_s * random.uniform(
                    0.75, 1.25
                )
                await self._wait_until(
                    lambda next_read_at_s=next_read_at_s: (
                        not self._needs_read()
                        or time.monotonic() > next_read_at_s
                    )
                )
                delay_s = min(delay_s * 2, _MAX_READ_DELAY_S)

    def _needs_read(self) -> bool:
        fresh = self._target.age_s() < relay_link.MAX_AGE_S
        return not self.watches_platform() and not (
            self._relay_connected and fresh
        )

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while True:
            if condition():
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _read_once(self) -> None:
        prefixes = tuple(state.prefix for state in self._target.states())
        if not self._members.gateways():
            prefixes = tuple(
                prefix
                for prefix in prefixes
                if prefix.startswith(member.MEMBERS_PREFIX)
            )
        try:
            await self._source.read(prefixes)
        except platform_errors.PlatformError as error:
            logger.warning("spread.read_failed", reason=error.message)

    async def _follow_relays(self) -> None:
        allow_stale = False
        while True:
            await self._wait_until(lambda: not self._has_fresh_watch())
            allow_stale = await self._try_candidates(allow_stale)
            await asyncio.sleep(
                random.uniform(_MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
            )

    async def _try_candidates(self, allow_stale: bool) -> bool:
        """Follows the candidate relays in turn, each until it is lost.

        Returns:
            Whether the next pass should accept relays that are out of date,
            because a relay answered in this pass but was not kept.
        """
        found_stale = False
        for address in self._selector.candidates():
            if self._has_fresh_watch():
                return False
            link = relay_link.RelayLink(
                self._settings, self._target, self._aggregator, address
            )
            await self._follow(link, allow_stale)
            found_stale = found_stale or link.answered
        return found_stale and not allow_stale

    async def _follow(
        self, link: relay_link.RelayLink, allow_stale: bool
    ) -> None:
        give_up_at_s = (
            time.monotonic()
            + _STALE_RELAY_TIMEOUT_S * random.uniform(0.75, 1.25)
        )

        def should_stop() -> bool:
            self._relay_connected = link.answered and self._target.synced
            stale = self._target.age_s() > relay_link.MAX_AGE_S
            if stale and time.monotonic() > give_up_at_s:
                return True
            return self._has_fresh_watch()

        try:
            await link.run(should_stop, allow_stale)
        except errors.RelayLostError as error:
            logger.warning("spread.relay_lost", reason=error.message)
        finally:
            if self._relay_connected:
                self._relay_lost_at_s = time.monotonic()
            self._relay_connected = False

    def _has_fresh_watch(self) -> bool:
        """Returns whether this process has fresh data from its own watch."""
        return (
            self._selector.is_watcher()
            and self._source.age_s() < relay_link.MAX_AGE_S
        )
