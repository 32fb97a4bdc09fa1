"""Counts the gateways, which share retry and connection limits."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random
import time

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.entry import gateway_listings
from bronzeslip.entry import gateway_record
from bronzeslip.entry import vm_config
from bronzeslip.membership import rendezvous
from bronzeslip.quota import coordinator_ranking
from bronzeslip.quota import peer
from bronzeslip.quota import standing
from bronzeslip.settings import entry
from bronzeslip.store import errors
from bronzeslip.store import objects
from bronzeslip.store import read_write_store

logger = logs.get_logger(__name__)

PREFIX = "bronzeslip-gateways/"
_REFRESH_JITTER = 0.2
_RETRY_DELAY_S = 1.0
# Used until the first count; too high rather than too low, so that the share of
# this gateway is too small rather than too large.
_INITIAL_COUNT = 400
# Age, in refresh intervals, at which a listing may no longer be used for shares
# of a limit; longer than two refreshes.
_LISTING_LIFETIME_INTERVALS = 2.7


def _boot_time_s() -> float:
    """Returns a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayRegistry:
    """Registers this gateway and counts all registered gateways.

    The key of a record is the VM id, so a restarted gateway finds its own
    record. Records of VMs that ended without a shutdown make the count too
    high, which makes shares too small, never too large.

    Gateways that are counted by some and not by others would use more than the
    total of a shared limit. A gateway therefore uses its share only while its
    listing is recent, and only after every recent listing contains it. A
    gateway that is no longer listed is counted until its use of the limit has
    ended.

    The same condition makes a gateway the only one that coordinates a key with
    full standing. One that found its own record at its start, or whose listing
    is no longer recent, has partial standing.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        store: read_write_store.ReadWriteStore,
        own: peer.Peer,
        clock: Callable[[], float] = _boot_time_s,
    ) -> None:
        """Creates a registry.

        Args:
            settings: Interval of the counts and age of stale reads.
            store: Store that holds the records.
            own: This gateway.
            clock: Clock, in seconds.
        """
        self._refresh_s = settings.gateway_refresh_s
        self._listing_lifetime_s = (
            settings.gateway_refresh_s * _LISTING_LIFETIME_INTERVALS
        )
        # Once it has passed, all other gateways have read the record of this
        # one or no longer use their shares.
        self._settling_time_s = (
            self._listing_lifetime_s + settings.store_staleness_s
        )
        self._store = store
        self._own = own
        self._clock = clock
        self._key = ids.ObjectKey(f"{PREFIX}{own.vm_id}")
        self._listings = gateway_listings.GatewayListings(
            own, self._settling_time_s
        )
        self._registered_s = math.inf
        self._was_listed_before = False
        self._is_deregistered = False
        self._refresh_due = asyncio.Event()
        self._ranking = coordinator_ranking.CoordinatorRanking()
        self._rank_gateways()

    @property
    def count(self) -> int:
        """Number of gateways."""
        if not self._listings:
            return _INITIAL_COUNT
        return len(self._listings.merged)

    @property
    def is_known(self) -> bool:
        """Whether the gateways have been counted."""
        return bool(self._listings)

    @property
    def vm_ids(self) -> set[ids.VmId]:
        """VMs of the known gateways, including this one."""
        return set(self._listings.merged)

    def listing_age_s(self) -> float | None:
        """Returns the age of the latest listing, in seconds, or None."""
        if not self._listings:
            return None
        return self._clock() - self._listings.latest_s

    def share_of(self, total: float) -> float:
        """Returns this gateway's share of a number of indivisible items.

        If there are more gateways than items, as many gateways as there are
        items receive one each. All gateways agree on which.
        """
        if not self._is_settled():
            return 0.0
        share = total / len(self._listings.merged)
        if share >= 1:
            return share
        return 1.0 if self._rank < math.floor(total) else 0.0

    def ranked(self, key: str, count: int = 2) -> tuple[peer.Peer, ...]:
        """Returns the coordinator of a key and its fallbacks.

        Args:
            key: Key to coordinate.
            count: Number of gateways to return, four at most.

        Returns:
            At most that many gateways, possibly including this one; none before
            the first listing.
        """
        return self._ranking.first(key, count) if self._listings else ()

    def standing_for(self, key: str, is_fallback: bool) -> standing.Standing:
        """Returns which part of the limit of a key this gateway may grant.

        Args:
            key: Key that the limit belongs to.
            is_fallback: Whether the asking gateway did not reach the
                coordinator.
        """
        ranked = self.ranked(key)
        if self._own not in ranked or not self._is_listed_by_others():
            return standing.Standing.NONE
        if ranked[0] == self._own:
            if self._is_settled():
                return standing.Standing.FULL
            return standing.Standing.PARTIAL
        if is_fallback:
            return standing.Standing.PARTIAL
        return standing.Standing.NONE

    async def run(self) -> None:
        """Registers this gateway, then counts until cancelled.

        When it runs again after a failure, the registration and the listings
        of the run before remain valid.
        """
        if math.isinf(self._registered_s):
            await self._register()
        if not self._listings:
            # All gateways start at the same time; an earlier count is too low.
            await self._wait_for_refresh(self._refresh_s)
        await self._refresh_until_cancelled()

    def refresh_soon(self) -> None:
        """Schedules the first listing, if there is none yet."""
        if not self._listings:
            self._refresh_due.set()

    def on_store_restored(self) -> None:
        """Schedules a refresh, which writes a lost record again."""
        self._refresh_due.set()

    async def deregister(self) -> None:
        """Removes the record; one left behind after an error is harmless."""
        self._is_deregistered = True
        try:
            record = await self._store.get(self._key)
            if record is not None:
                await self._store.delete(self._key, record.version)
        except errors.PlatformError as error:
            logger.info("gateways.not_withdrawn", reason=error.message)

    async def _refresh_until_cancelled(self) -> None:
        while True:
            await self._refresh()
            jitter = random.uniform(1 - _REFRESH_JITTER, 1 + _REFRESH_JITTER)
            self._refresh_due.clear()
            await self._wait_for_refresh(self._refresh_s * jitter)

    async def _wait_for_refresh(self, wait_s: float) -> None:
        """Waits for a time, or less if a refresh is due earlier."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._refresh_due.wait()
                await asyncio.sleep(random.uniform(0, _RETRY_DELAY_S))

    def _has_settled(self) -> bool:
        """Returns whether all others have had time to read the record."""
        return self._clock() - self._registered_s >= self._settling_time_s

    def _is_listed_by_others(self) -> bool:
        return not self._is_deregistered and (
            self._was_listed_before or self._has_settled()
        )

    def _is_settled(self) -> bool:
        listing_age_s = self._clock() - self._listings.latest_s
        return self._has_settled() and listing_age_s < self._listing_lifetime_s

    async def _register(self) -> None:
        """Writes the record, retrying while the store is unavailable."""
        while True:
            if await self._try_register():
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _try_register(self) -> bool:
        """Writes the record; returns whether the store has it."""
        record = gateway_record.GatewayRecord(
            self._own.vm_id, self._own.address
        )
        is_again = math.isfinite(self._registered_s)
        try:
            try:
                await self._store.create(self._key, record)
            except errors.VersionConflictError:
                logger.info("gateways.already_registered")
                self._was_listed_before = await self._has_same_record(record)
            else:
                logger.info("gateways.registered")
                self._was_listed_before = is_again
        except errors.PlatformError as error:
            logger.warning("gateways.not_registered", reason=error.message)
            return False
        self._registered_s = self._clock()
        return True

    async def _has_same_record(
        self, record: gateway_record.GatewayRecord
    ) -> bool:
        """Replaces a stored record that differs; returns whether none did."""
        stored = await self._store.get(self._key)
        if stored is None:
            raise errors.VersionConflictError("the record has been removed")
        if gateway_record.decode(stored.value) == record:
            return True
        await self._store.update(self._key, record, stored.version)
        return False

    async def _refresh(self) -> None:
        started_s = self._clock()
        try:
            listing = await self._store.list_objects(PREFIX, may_be_stale=True)
        except errors.PlatformError as error:
            logger.info("gateways.not_counted", reason=error.message)
            return
        addresses = {
            ids.VmId(stored.key.removeprefix(PREFIX)): _address_of(stored)
            for stored in listing.objects
        }
        if self._listings.add(addresses, started_s):
            self._rank_gateways()
        if self._own.vm_id not in addresses and not self._is_deregistered:
            # The store may have been restored from an older copy.
            await self._try_register()

    def _rank_gateways(self) -> None:
        """Ranks the gateways for shares and as coordinators."""
        addresses = self._listings.merged
        ordered = rendezvous.ranked(addresses, str, PREFIX)
        self._rank = ordered.index(self._own.vm_id)
        self._ranking.replace_peers(
            peer.Peer(vm_id, address)
            for vm_id, address in addresses.items()
            if address is not None
        )


def _address_of(
    stored: objects.PlatformObject,
) -> vm_config.SocketAddress | None:
    record = None
    with isolation.isolated(logger, "gateways.record_failed", key=stored.key):
        record = gateway_record.decode(stored.value)
    return None if record is None else record.peer_address
