"""Publication of this gateway's suspects to the platform store."""

import asyncio
from collections.abc import Callable
import contextlib

from bronzeslip import ids
from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.membership import rendezvous
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_record
from bronzeslip.routing import suspect_settings
from bronzeslip.store import errors
from bronzeslip.store import read_write_store

logger = logs.get_logger(__name__)

_MIN_INTERVAL_S = 0.1
_RETRY_DELAY_S = 2.0
_CLEANUP_INTERVAL_S = 60.0


class SuspectPublisher:
    """Writes this gateway's record of suspects and batches its changes."""

    def __init__(
        self,
        settings: suspect_settings.SuspectSettings,
        platform: read_write_store.ReadWriteStore,
        live_gateways: Callable[[], set[ids.VmId]],
        suspects: suspect_list.SuspectList,
    ) -> None:
        """Creates a publisher.

        Args:
            settings: VM id of the gateway.
            platform: Client of the platform store.
            live_gateways: Returns the VM ids of the known gateways. One of
                them, chosen by rendezvous hashing, deletes an abandoned
                record.
            suspects: Suspects to publish.
        """
        self._settings = settings
        self._platform = platform
        self._live_gateways = live_gateways
        self._suspects = suspects
        self._key = suspect_list.record_key(settings.vm_id)
        self._changed = asyncio.Event()
        self._write_completed = asyncio.Condition()
        self._requested_revision = 0
        self._written_revision = 0

    def publish(self) -> None:
        """Schedules a write of the record."""
        self._requested_revision += 1
        self._changed.set()

    def is_chosen(self, key: str) -> bool:
        """Returns whether this gateway is chosen for a key among all."""
        own_vm_id = self._settings.vm_id
        candidates = self._live_gateways() | {own_vm_id}
        return rendezvous.ranked(candidates, str, key)[0] == own_vm_id

    async def wait_published(self, timeout_s: float) -> None:
        """Waits until all changes so far are written or a timeout elapses."""
        revision = self._requested_revision
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._write_completed:
                await self._write_completed.wait_for(
                    lambda: self._written_revision >= revision
                )

    async def run(self) -> None:
        """Writes changes and deletes abandoned records until cancelled."""
        if self._written_revision < self._requested_revision:
            # A write of the run before may have failed.
            self._changed.set()
        while True:
            try:
                async with asyncio.timeout(_CLEANUP_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                await self._delete_abandoned()
                continue
            self._changed.clear()
            if await self._write(self._requested_revision):
                await asyncio.sleep(_MIN_INTERVAL_S)
            else:
                self._changed.set()
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _write(self, revision: int) -> bool:
        record = self._suspects.own_record()
        try:
            await self._put(record)
        except errors.PlatformError as error:
            logger.warning("suspects.write_failed", reason=error.message)
            return False
        async with self._write_completed:
            self._written_revision = revision
            self._write_completed.notify_all()
        return True

    async def _put(self, record: suspect_record.SuspectRecord) -> None:
        stored = await self._platform.get(self._key)
        if stored is None:
            await self._platform.create(self._key, record)
        else:
            await self._platform.update(self._key, record, stored.version)

    async def _delete_abandoned(self) -> None:
        for key in self._suspects.abandoned_keys(self._live_gateways()):
            if not self.is_chosen(key):
                continue
            with isolation.isolated(logger, "suspects.delete_failed", key=key):
                await self._delete(key)

    async def _delete(self, key: ids.ObjectKey) -> None:
        try:
            stored = await self._platform.get(key)
            if stored is not None:
                await self._platform.delete(key, stored.version)
        except errors.PlatformError as error:
            logger.warning("suspects.delete_failed", reason=error.message)
