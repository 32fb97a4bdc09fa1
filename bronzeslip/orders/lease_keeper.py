"""Acquires, renews and releases one lease."""

import asyncio
from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.orders import errors
from bronzeslip.orders import lease
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

_NO_HOLDER = ids.IncarnationId("")
_TAKEOVER_RATIO = 1.25
_RENEWALS_PER_TTL = 3


class LeaseHandle:
    """Handle of one process on one lease.

    The holder measures the time to live from before it sends a write, a
    competing process from when it first reads the write. The lease therefore
    expires for its holder before another process may acquire it, regardless
    of the platform's latency.
    """

    def __init__(
        self,
        platform: client.PlatformClient,
        name: str,
        holder: ids.IncarnationId,
        ttl_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a handle that does not hold the lease yet.

        Args:
            platform: Client of the platform.
            name: Name of the lease.
            holder: Incarnation that acquires the lease.
            ttl_s: Time to live of each write, in seconds.
            clock: Monotonic clock, in seconds.
        """
        self._platform = platform
        self._key = lease.key_of(name)
        self._holder = holder
        self._ttl_s = ttl_s
        self._clock = clock
        self._version: ids.ObjectVersion | None = None
        self._valid_until_s = float("-inf")
        self._renewals = 0
        self._observed_version: ids.ObjectVersion | None = None
        self._observed_at_s = 0.0

    @property
    def held(self) -> bool:
        """Whether the lease is held now."""
        return self._clock() < self._valid_until_s

    @property
    def fencing_number(self) -> int:
        """Number that increases with every write of the lease.

        Raises:
            errors.LeaseNotHeldError: If the lease is not held.
        """
        self.check_held()
        return self._version

    def check_held(self) -> None:
        """Checks that the lease is held now.

        Raises:
            errors.LeaseNotHeldError: If it is not.
        """
        if not self.held:
            raise errors.LeaseNotHeldError(f"lease {self._key} is not held")

    async def try_acquire(self) -> bool:
        """Acquires the lease if it is free or has expired.

        Returns:
            Whether the lease is held.
        """
        try:
            found = await self._platform.get(self._key)
            if found is None:
                await self._write(None)
            elif self._can_acquire(found):
                await self._write(found.version)
        except platform_errors.PlatformError as error:
            logger.debug(
                "lease.not_acquired", key=self._key, reason=error.message
            )
        return self.held

    async def renew(self) -> bool:
        """Extends the lease.

        Returns:
            Whether the lease is held.
        """
        if not self.held:
            return False
        try:
            await self._renew_or_recover()
        except platform_errors.PlatformError as error:
            logger.warning(
                "lease.renewal_failed", key=self._key, reason=error.message
            )
        return self.held

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost or the task is cancelled."""
        while True:
            if not await self.renew():
                logger.warning("lease.lost", key=self._key)
                return
            await asyncio.sleep(self._ttl_s / _RENEWALS_PER_TTL)

    async def release(self) -> None:
        """Releases the lease; it expires if the platform is unreachable."""
        was_held = self.held
        self._valid_until_s = float("-inf")
        if not was_held:
            return
        try:
            if not await self._try_release():
                await self._read_own_version()
                await self._try_release()
        except (
            platform_errors.PlatformError,
            errors.LeaseNotHeldError,
        ) as error:
            logger.warning(
                "lease.release_failed", key=self._key, reason=error.message
            )

    async def _try_release(self) -> bool:
        released = lease.Lease(_NO_HOLDER, self._renewals, self._ttl_s)
        try:
            await self._platform.update(self._key, released, self._version)
        except platform_errors.VersionConflictError:
            return False
        return True

    async def _renew_or_recover(self) -> None:
        try:
            await self._write(self._version)
        except platform_errors.VersionConflictError:
            await self._recover()

    async def _write(self, version: ids.ObjectVersion | None) -> None:
        started_s = self._clock()
        self._renewals += 1
        new_lease = lease.Lease(self._holder, self._renewals, self._ttl_s)
        if version is None:
            written = await self._platform.create(self._key, new_lease)
        else:
            written = await self._platform.update(self._key, new_lease, version)
        self._version = written.version
        self._valid_until_s = started_s + self._ttl_s

    async def _recover(self) -> None:
        """Renews the lease after a conflict with an earlier own write.

        The response to that write was lost.
        """
        try:
            await self._read_own_version()
        except errors.LeaseNotHeldError:
            self._valid_until_s = float("-inf")
            return
        await self._write(self._version)

    async def _read_own_version(self) -> None:
        found = await self._platform.get(self._key)
        stored = _decode(found) if found else None
        if stored is None or stored.holder != self._holder:
            raise errors.LeaseNotHeldError(
                f"lease {self._key} is no longer held by this process"
            )
        self._version = found.version

    def _can_acquire(self, found: objects.PlatformObject) -> bool:
        stored = _decode(found)
        if stored is None or stored.holder in (_NO_HOLDER, self._holder):
            return True
        if found.version != self._observed_version:
            self._observed_version = found.version
            self._observed_at_s = self._clock()
            return False
        unchanged_s = self._clock() - self._observed_at_s
        return unchanged_s > stored.ttl_s * _TAKEOVER_RATIO


def _decode(found: objects.PlatformObject) -> lease.Lease | None:
    try:
        return untrusted.from_json(found.value, lease.Lease)
    except decoding_errors.UndecodableError as error:
        logger.error("lease.unreadable", key=found.key, reason=error.message)
        return None
