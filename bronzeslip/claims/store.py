"""Storage of claims on the platform."""

import msgspec

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors
from bronzeslip.claims import kept_result
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors
from bronzeslip.store import objects

_WRITE_ATTEMPTS = 2
_RETRY_AFTER_S = 2.0


class ClaimStore:
    """Creates and updates claims with conditional writes.

    If the response to a write is lost, the claim is read back: the write took
    effect if the stored claim, which carries the attempt's call id, equals the
    written one.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def read(self, key: ids.ObjectKey) -> claims.StoredClaim | None:
        """Reads the claim stored under a key, None if there is none.

        Raises:
            errors.ClaimsUnavailableError: If the platform is unavailable.
        """
        try:
            found = await self._platform.get(key)
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        return None if found is None else decode(found)

    async def create(
        self, key: ids.ObjectKey, new_claim: claims.Claim
    ) -> claims.StoredClaim:
        """Creates the claim of an unclaimed key.

        Raises:
            errors.ClaimTakenError: If the key is claimed already.
            errors.ClaimsUnavailableError: If the claim cannot be confirmed.
        """
        return await self._write(key, new_claim, None)

    async def replace(
        self, stored: claims.StoredClaim, new_claim: claims.Claim
    ) -> claims.StoredClaim:
        """Replaces a claim if it has not changed since it was read.

        Raises:
            errors.ClaimTakenError: If it has changed.
            errors.ClaimsUnavailableError: If the change cannot be confirmed.
        """
        return await self._write(stored.key, new_claim, stored.version)

    async def record_result(
        self, stored: claims.StoredClaim, result: kept_result.KeptResult
    ) -> claims.StoredClaim:
        """Adds the endpoint's response to a claim.

        Raises:
            errors.ClaimTakenError: If the claim has changed.
            errors.ClaimsUnavailableError: If the change cannot be confirmed.
        """
        finished = msgspec.structs.replace(stored.claim, result=result)
        return await self.replace(stored, finished)

    async def release(self, stored: claims.StoredClaim) -> None:
        """Deletes a claim whose call was not run and never will be.

        Raises:
            errors.ClaimTakenError: If the claim has changed.
            errors.ClaimsUnavailableError: If the platform is unavailable.
        """
        for _ in range(_WRITE_ATTEMPTS):
            if await self._try_delete(stored):
                return
            found = await self.read(stored.key)
            if found is None:
                return
            if found.version != stored.version:
                raise errors.ClaimTakenError(
                    "the claim has changed since it was read"
                )
        raise errors.ClaimsUnavailableError(
            "the deletion of the claim could not be confirmed",
            retry_after_s=_RETRY_AFTER_S,
        )

    async def _try_delete(self, stored: claims.StoredClaim) -> bool:
        try:
            await self._platform.delete(stored.key, stored.version)
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
        new_claim: claims.Claim,
        version: ids.ObjectVersion | None,
    ) -> claims.StoredClaim:
        for _ in range(_WRITE_ATTEMPTS):
            written = await self._try_write(key, new_claim, version)
            if written is not None:
                return written
            found = await self.read(key)
            if found is not None and found.claim == new_claim:
                return found
            if (found.version if found else None) != version:
                raise errors.ClaimTakenError("another attempt holds the claim")
        raise errors.ClaimsUnavailableError(
            "the write of the claim could not be confirmed",
            retry_after_s=_RETRY_AFTER_S,
        )

    async def _try_write(
        self,
        key: ids.ObjectKey,
        new_claim: claims.Claim,
        version: ids.ObjectVersion | None,
    ) -> claims.StoredClaim | None:
        try:
            if version is None:
                stored_object = await self._platform.create(key, new_claim)
            else:
                stored_object = await self._platform.update(
                    key, new_claim, version
                )
        except (
            platform_errors.VersionConflictError,
            platform_errors.PlatformUnavailableError,
        ):
            return None
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        return claims.StoredClaim(key, stored_object.version, new_claim)


def decode(found: objects.PlatformObject) -> claims.StoredClaim:
    """Decodes the claim in an object.

    Raises:
        errors.ClaimError: If the object does not hold a valid claim.
    """
    try:
        claim = untrusted.from_json(found.value, claims.Claim)
    except decoding_errors.UndecodableError as error:
        raise errors.ClaimError(
            f"cannot decode claim: {error.message}"
        ) from error
    return claims.StoredClaim(found.key, found.version, claim)


def _unavailable(error: platform_errors.PlatformError) -> errors.ClaimError:
    return errors.ClaimsUnavailableError(
        error.message, retry_after_s=_RETRY_AFTER_S
    )
