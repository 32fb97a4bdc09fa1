"""Tells how many gateways share the bounds that hold for all of them."""

import asyncio
import random

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.store import errors
from bronzeslip.store import registry_store

logger = logs.get_logger(__name__)

PREFIX = "bronzeslip-gateways/"
# Gateways come and go over minutes; a count that is a little old only makes
# each one's share of the repeats a little too small or too large.
_REFRESH_INTERVAL_S = 10.0
_RETRY_DELAY_S = 1.0
# All gateways start together; a count before that would be too low.
_STARTUP_DELAY_S = 3.0
# Assumed until the store has told, so that a share is rather too small.
_INITIAL_COUNT = 30


class GatewayRecord(msgspec.Struct, frozen=True):
    """What a gateway writes of itself, once, at its start.

    Attributes:
        vm_id: VM that it runs on.
    """

    vm_id: ids.VmId


class GatewayRegistry:
    """Registers this gateway and counts all of them.

    A record stands under the id of the VM, so a restart finds it there.
    Records of VMs that are gone without a shutdown make the count too high,
    which makes shares too small, never too large.
    """

    def __init__(
        self, store: registry_store.RegistryStore, vm_id: ids.VmId
    ) -> None:
        """Creates a registry.

        Args:
            store: Store that keeps the records.
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
        """VMs of the gateways, as far as they are known."""
        return {self._vm_id, *(self._vm_ids or ())}

    async def run(self) -> None:
        """Registers, then counts until cancelled."""
        await self._register()
        await asyncio.sleep(_STARTUP_DELAY_S)
        while True:
            await self._refresh()
            await asyncio.sleep(_REFRESH_INTERVAL_S * random.uniform(0.8, 1.2))

    async def deregister(self) -> None:
        """Removes the record; one that stays does no harm."""
        try:
            record = await self._store.get(self._key)
            if record is not None:
                await self._store.delete(self._key, record.version)
        except errors.PlatformError as error:
            logger.info("gateways.not_withdrawn", reason=error.message)

    async def _register(self) -> None:
        """Writes the record, however long the store is away."""
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
