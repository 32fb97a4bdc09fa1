"""Counts the gateways, which share retry and connection limits."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import math
import random
import time

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.membership import rendezvous
from bronzeslip.settings import entry
from bronzeslip.store import errors
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


class GatewayRecord(msgspec.Struct, frozen=True):
    """Record that a gateway writes at startup.

    Attributes:
        vm_id: VM that the gateway runs on.
    """

    vm_id: ids.VmId


class _Listing(msgspec.Struct, frozen=True):
    """Gateways that were registered at one time.

    Attributes:
        vm_ids: VMs of the gateways.
        read_s: Time of the listing.
    """

    vm_ids: frozenset[ids.VmId]
    read_s: float


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
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        store: read_write_store.ReadWriteStore,
        vm_id: ids.VmId,
        clock: Callable[[], float] = _boot_time_s,
    ) -> None:
        """Creates a registry.

        Args:
            settings: Interval of the counts and age of stale reads.
            store: Store that holds the records.
            vm_id: VM of this gateway.
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
        self._vm_id = vm_id
        self._clock = clock
        self._key = ids.ObjectKey(f"{PREFIX}{vm_id}")
        self._listings: collections.deque[_Listing] = collections.deque()
        self._registered_s = math.inf
        self._is_deregistered = False
        self._refresh_due = asyncio.Event()
        self._vm_ids = frozenset((vm_id,))
        self._rank = 0

    @property
    def count(self) -> int:
        """Number of gateways."""
        if not self._listings:
            return _INITIAL_COUNT
        return len(self._vm_ids)

    @property
    def is_known(self) -> bool:
        """Whether the gateways have been counted."""
        return bool(self._listings)

    @property
    def vm_ids(self) -> set[ids.VmId]:
        """VMs of the known gateways, including this one."""
        return set(self._vm_ids)

    def share_of(self, total: float) -> float:
        """Returns this gateway's share of a number of indivisible items.

        If there are more gateways than items, as many gateways as there are
        items receive one each. All gateways agree on which.
        """
        if not self._is_settled():
            return 0.0
        share = total / len(self._vm_ids)
        if share >= 1:
            return share
        return 1.0 if self._rank < math.floor(total) else 0.0

    async def run(self) -> None:
        """Registers this gateway, then counts until cancelled."""
        await self._register()
        # All gateways start at the same time; an earlier count is too low.
        await asyncio.sleep(self._refresh_s)
        await self._refresh_until_cancelled()

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
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._refresh_s * jitter):
                    await self._refresh_due.wait()
                    await asyncio.sleep(random.uniform(0, _RETRY_DELAY_S))

    def _is_settled(self) -> bool:
        now_s = self._clock()
        return (
            now_s - self._registered_s >= self._settling_time_s
            and bool(self._listings)
            and now_s - self._listings[-1].read_s < self._listing_lifetime_s
        )

    async def _register(self) -> None:
        """Writes the record, retrying while the store is unavailable."""
        while True:
            if await self._try_register():
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _try_register(self) -> bool:
        """Writes the record; returns whether the store has it."""
        try:
            await self._store.create(self._key, GatewayRecord(self._vm_id))
        except errors.VersionConflictError:
            logger.info("gateways.already_registered")
        except errors.PlatformError as error:
            logger.warning("gateways.not_registered", reason=error.message)
            return False
        else:
            logger.info("gateways.registered")
        self._registered_s = self._clock()
        return True

    async def _refresh(self) -> None:
        started_s = self._clock()
        try:
            listing = await self._store.list_objects(PREFIX, may_be_stale=True)
        except errors.PlatformError as error:
            logger.info("gateways.not_counted", reason=error.message)
            return
        vm_ids = frozenset(
            ids.VmId(record.key.removeprefix(PREFIX))
            for record in listing.objects
        )
        if not self._listings or vm_ids != self._listings[-1].vm_ids:
            logger.info("gateways.counted", count=len(vm_ids))
        self._listings.append(_Listing(vm_ids, started_s))
        while (
            len(self._listings) > 1
            and started_s - self._listings[0].read_s > self._settling_time_s
        ):
            self._listings.popleft()
        self._update_counted()
        if self._vm_id not in vm_ids and not self._is_deregistered:
            # The store may have been restored from an older copy.
            await self._try_register()

    def _update_counted(self) -> None:
        """Merges the recent listings and ranks this gateway among them."""
        self._vm_ids = frozenset((self._vm_id,)).union(
            *(listing.vm_ids for listing in self._listings)
        )
        ordered = rendezvous.ranked(self._vm_ids, str, PREFIX)
        self._rank = ordered.index(self._vm_id)
