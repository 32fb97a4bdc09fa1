"""Registration of this process with the platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import msgspec
import tenacity

from bronzeslip import logs
from bronzeslip.membership import member
from bronzeslip.store import client
from bronzeslip.store import errors
from bronzeslip.store import objects

logger = logs.get_logger(__name__)

_MIN_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 30.0
_MIN_RENEWAL_DELAY_S = 400.0
_MAX_RENEWAL_DELAY_S = 800.0


class Registrar:
    """Maintains the member record of this process on the platform."""

    def __init__(
        self, platform: client.PlatformClient, local_member: member.Member
    ) -> None:
        self._platform = platform
        self._local_member = local_member
        self._deregistered = False

    @property
    def local_member(self) -> member.Member:
        """Member record of this process."""
        return self._local_member

    async def register(self) -> None:
        """Writes the record, replacing that of an earlier incarnation."""
        await _retry_until_written(self._try_register)

    async def maintain(self) -> None:
        """Registers, then restores the record whenever it was removed."""
        await self.register()
        while True:
            await asyncio.sleep(
                random.uniform(_MIN_RENEWAL_DELAY_S, _MAX_RENEWAL_DELAY_S)
            )
            await self.renew()

    async def renew(self) -> None:
        """Writes the record if it is missing."""
        await _retry_until_written(self._try_renew)

    async def announce_draining(self) -> None:
        """Marks this incarnation as draining, retrying until it is written."""
        self._local_member = msgspec.structs.replace(
            self._local_member, state=member.MemberState.DRAINING
        )
        await _retry_until_written(self._try_announce)

    async def deregister(self) -> None:
        """Deletes the record if it still belongs to this incarnation.

        The record is never written again after this call.
        """
        self._deregistered = True
        try:
            found = await self._platform.get(member.key_of(self._local_member))
            if found is not None and self._is_same_incarnation(found):
                await self._platform.delete(found.key, found.version)
        except errors.PlatformError as error:
            logger.warning("membership.withdraw_failed", reason=error.message)

    async def _try_register(self) -> bool:
        return await self._try_write(lambda found: True)

    async def _try_announce(self) -> bool:
        return await self._try_write(self._is_same_incarnation)

    async def _try_renew(self) -> bool:
        return await self._try_write(lambda found: False)

    async def _try_write(
        self, may_replace: Callable[[objects.PlatformObject], bool]
    ) -> bool:
        key = member.key_of(self._local_member)
        try:
            found = await self._platform.get(key)
            if self._deregistered:
                return True
            if found is None:
                await self._platform.create(key, self._local_member)
            elif (
                may_replace(found)
                and member.decode(found.value) != self._local_member
            ):
                await self._platform.update(
                    key, self._local_member, found.version
                )
        except errors.PlatformError as error:
            logger.warning("membership.register_failed", reason=error.message)
            return False
        return True

    def _is_same_incarnation(self, found: objects.PlatformObject) -> bool:
        stored = member.decode(found.value)
        return (
            stored is not None
            and stored.incarnation_id == self._local_member.incarnation_id
        )


async def _retry_until_written(attempt: Callable[[], Awaitable[bool]]) -> None:
    retrying = tenacity.AsyncRetrying(
        retry=tenacity.retry_if_result(lambda written: not written),
        wait=tenacity.wait_random_exponential(
            _MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S
        ),
    )
    await retrying(attempt)
