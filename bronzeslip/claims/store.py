"""Claims kept by the platform."""

import msgspec

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors
from bronzeslip.claims import kept_result
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors
from bronzeslip.store import objects

_WRITE_ATTEMPTS = 2
_RETRY_AFTER_S = 2.0


class ClaimStore:
    """Makes and changes claims by conditional writes.

    A write whose answer is lost is resolved by reading the claim: it took
    effect if the claim carries the attempt's own call id.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def read(self, key: ids.ObjectKey) -> claims.HeldClaim | None:
        """Reads the claim of a key.

        Raises:
            errors.ClaimsUnavailableError: If the platform does not answer.
        """
        try:
            found = await self._platform.get(key)
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        return None if found is None else decode(found)

    async def create(
        self, key: ids.ObjectKey, wanted: claims.Claim
    ) -> claims.HeldClaim:
        """Claims a key that nobody has claimed.

        Raises:
            errors.ClaimTakenError: If somebody has.
            errors.ClaimsUnavailableError: If the claim cannot be confirmed.
        """
        return await self._write(key, wanted, None)

    async def replace(
        self, held: claims.HeldClaim, wanted: claims.Claim
    ) -> claims.HeldClaim:
        """Replaces a claim that has not changed since it was read.

        Raises:
            errors.ClaimTakenError: If it has changed.
            errors.ClaimsUnavailableError: If the change cannot be confirmed.
        """
        return await self._write(held.key, wanted, held.version)

    async def finish(
        self, held: claims.HeldClaim, result: kept_result.KeptResult
    ) -> claims.HeldClaim:
        """Keeps the answer with a claim.

        Raises:
            errors.ClaimTakenError: If the claim has changed.
            errors.ClaimsUnavailableError: If the change cannot be confirmed.
        """
        finished = msgspec.structs.replace(held.claim, result=result)
        return await self.replace(held, finished)

    async def release(self, held: claims.HeldClaim) -> None:
        """Deletes a claim whose call was not run and never will be.

        Raises:
            errors.ClaimTakenError: If the claim has changed.
            errors.ClaimsUnavailableError: If the platform does not answer.
        """
        for _ in range(_WRITE_ATTEMPTS):
            if await self._try_delete(held):
                return
            found = await self.read(held.key)
            if found is None:
                return
            if found.version != held.version:
                raise errors.ClaimTakenError("the claim has changed")
        raise errors.ClaimsUnavailableError(
            "the release could not be confirmed", retry_after_s=_RETRY_AFTER_S
        )

    async def _try_delete(self, held: claims.HeldClaim) -> bool:
        try:
            await self._platform.delete(held.key, held.version)
        except (
            platform_errors.VersionConflictError,
            platform_errors.PlatformUnavailableError,
        ):
            return False
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        return True

    async def _write(
        self,
        key: ids.ObjectKey,
        wanted: claims.Claim,
        version: ids.ObjectVersion | None,
    ) -> claims.HeldClaim:
        for _ in range(_WRITE_ATTEMPTS):
            written = await self._try_write(key, wanted, version)
            if written is not None:
                return written
            found = await self.read(key)
            if found is not None and found.claim == wanted:
                return found
            if (found.version if found else None) != version:
                raise errors.ClaimTakenError("another attempt has the claim")
        raise errors.ClaimsUnavailableError(
            "the claim could not be confirmed", retry_after_s=_RETRY_AFTER_S
        )

    async def _try_write(
        self,
        key: ids.ObjectKey,
        wanted: claims.Claim,
        version: ids.ObjectVersion | None,
    ) -> claims.HeldClaim | None:
        try:
            if version is None:
                stored = await self._platform.create(key, wanted)
            else:
                stored = await self._platform.update(key, wanted, version)
        except (
            platform_errors.VersionConflictError,
            platform_errors.PlatformUnavailableError,
        ):
            return None
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        return claims.HeldClaim(key, stored.version, wanted)


def decode(found: objects.PlatformObject) -> claims.HeldClaim:
    """Reads a claim out of an object.

    Raises:
        errors.ClaimError: If the object is no claim.
    """
    try:
        claim = msgspec.json.decode(found.value, type=claims.Claim)
    except msgspec.MsgspecError as error:
        raise errors.ClaimError(f"unreadable claim: {error}") from error
    return claims.HeldClaim(found.key, found.version, claim)


def _unavailable(error: platform_errors.PlatformError) -> errors.ClaimError:
    return errors.ClaimsUnavailableError(
        error.message, retry_after_s=_RETRY_AFTER_S
    )
