"""Registers this process with the platform."""

import msgspec
import tenacity

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.membership import member
from bronzeslip.platform import client
from bronzeslip.platform import errors

logger = logs.get_logger(__name__)

_MIN_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 1.5


class Registrar:
    """Keeps one member record at the platform."""

    def __init__(
        self, platform: client.PlatformClient, own: member.Member
    ) -> None:
        self._platform = platform
        self._own = own

    @property
    def own(self) -> member.Member:
        """The member that this process is."""
        return self._own

    async def register(self) -> None:
        """Writes the record, replacing an earlier incarnation's."""
        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_result(lambda written: not written),
            wait=tenacity.wait_random(_MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S),
        )
        await retrying(self._try_write)

    async def announce_draining(self) -> None:
        """Marks the member as draining, trying until it is written.

        A registration under way writes the same state from now on.
        """
        self._own = msgspec.structs.replace(
            self._own, state=member.MemberState.DRAINING
        )
        await self.register()

    async def withdraw(self) -> None:
        """Deletes the record if it is still this incarnation's."""
        try:
            version = await self._own_version()
            if version is not None:
                await self._platform.delete(member.key_of(self._own), version)
        except errors.PlatformError as error:
            logger.warning("membership.withdraw_failed", reason=error.message)

    async def _try_write(self) -> bool:
        key = member.key_of(self._own)
        try:
            found = await self._platform.get(key)
            if found is None:
                await self._platform.create(key, self._own)
            else:
                await self._platform.update(key, self._own, found.version)
        except errors.PlatformError as error:
            logger.warning("membership.register_failed", reason=error.message)
            return False
        return True

    async def _own_version(self) -> ids.ObjectVersion | None:
        found = await self._platform.get(member.key_of(self._own))
        if found is None:
            return None
        stored = msgspec.json.decode(found.value, type=member.Member)
        if stored.incarnation_id != self._own.incarnation_id:
            return None
        return found.version
