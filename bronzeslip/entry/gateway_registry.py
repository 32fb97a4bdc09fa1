"""Counts the gateways, which share retry and connection limits."""

import asyncio
import random

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.store import errors
from bronzeslip.store import read_write_store

logger = logs.get_logger(__name__)

PREFIX = "bronzeslip-gateways/"
# Gateways start and stop over minutes; a slightly outdated count only makes
# each gateway's share of the retries slightly too small or too large.
_REFRESH_INTERVAL_S = 10.0
_RETRY_DELAY_S = 1.0
# All gateways start at the same time; an earlier count would be too low.
_STARTUP_DELAY_S = 3.0
# Used until the first count; too high rather than too low, so that the share of
# this gateway is too small rather than too large.
_INITIAL_COUNT = 30


class GatewayRecord(msgspec.Struct, frozen=True):
    """Record that a gateway writes once, at startup.

    Attributes:
        vm_id: VM that the gateway runs on.
    """

    vm_id: ids.VmId


class GatewayRegistry:
    """Registers this gateway and counts all registered gateways.

    The key of a record is the VM id, so a restarted gateway finds its own
    record. Records of VMs that ended without a shutdown make the count too
    high, which makes shares too small, never too large.
    """

    def __init__(
        self, store: read_write_store.ReadWriteStore, vm_id: ids.VmId
    ) -> None:
        """Creates a registry.

        Args:
            store: Store that holds the records.
            vm_id: VM of this gateway.
        """
        self._store = store
        self._vm_id = vm_id
        self._key = ids.ObjectKey(f"{PREFIX}{vm_id}")
        self._vm_ids: frozenset[ids.VmId] | None = None

    @property
    def count(self) -> int:
        """Number of gateways."""
        if self._vm_ids is None:
            return _INITIAL_COUNT
        return max(len(self._vm_ids), 1)

    @property
    def is_known(self) -> bool:
        """Whether the gateways have been counted."""
        return self._vm_ids is not None

    @property
    def vm_ids(self) -> set[ids.VmId]:
        """VMs of the known gateways, including this one."""
        return {self._vm_id, *(self._vm_ids or ())}

    async def run(self) -> None:
        """Registers this gateway, then counts until cancelled."""
        await self._register()
        await asyncio.sleep(_STARTUP_DELAY_S)
        while True:
            await self._refresh()
            await asyncio.sleep(_REFRESH_INTERVAL_S * random.uniform(0.8, 1.2))

    async def deregister(self) -> None:
        """Removes the record; one left behind after an error is harmless."""
        try:
            record = await self._store.get(self._key)
            if record is not None:
                await self._store.delete(self._key, record.version)
        except errors.PlatformError as error:
            logger.info("gateways.not_withdrawn", reason=error.message)

    async def _register(self) -> None:
        """Writes the record, retrying while the store is unavailable."""
        while True:
            try:
                await self._store.create(self._key, GatewayRecord(self._vm_id))
            except errors.VersionConflictError:
                return
            except errors.PlatformError as error:
                logger.warning("gateways.not_registered", reason=error.message)
                await asyncio.sleep(_RETRY_DELAY_S)
            else:
                return

    async def _refresh(self) -> None:
        try:
            listing = await self._store.list_objects(PREFIX, may_be_stale=True)
        except errors.PlatformError as error:
            logger.info("gateways.not_counted", reason=error.message)
            return
        vm_ids = frozenset(
            ids.VmId(record.key.removeprefix(PREFIX))
            for record in listing.objects
        )
        if vm_ids != self._vm_ids:
            logger.info("gateways.counted", count=len(vm_ids))
        self._vm_ids = vm_ids
