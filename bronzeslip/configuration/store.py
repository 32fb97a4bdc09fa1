"""Reads and patches the configuration kept by the platform."""

import time
from typing import Any

import json_merge_patch
import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import errors
from bronzeslip.configuration import record
from bronzeslip.platform import client
from bronzeslip.platform import errors as platform_errors
from bronzeslip.platform import objects


class PatchRequest(msgspec.Struct, frozen=True):
    """A patch that an operator submits.

    Attributes:
        patch_id: Drawn once by the submitter and kept over its retries.
        base_number: Number the patch was made against.
        operator: Who submits it.
        patch: RFC 7396 merge patch.
    """

    patch_id: ids.PatchId
    base_number: ids.ConfigurationNumber
    operator: ids.OperatorName
    patch: Any


class ConfigurationStore:
    """The configuration as the platform keeps it."""

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def read(self) -> record.ConfigurationRecord:
        """Reads the current configuration.

        Raises:
            errors.ConfigurationError: If the platform gives no answer.
        """
        current, _ = await self._read_with_version()
        return current

    async def apply(self, request: PatchRequest) -> record.ConfigurationRecord:
        """Applies a patch if its base is still current.

        A patch whose id is already among the recent ones has been accepted
        before and is answered with the record it produced or a later one.

        Raises:
            errors.StaleNumberError: If another patch came first.
            errors.InvalidDocumentError: If the result is not valid.
            errors.OutcomeUnknownError: If the platform cannot tell.
        """
        current, version = await self._read_with_version()
        if _contains(current, request.patch_id):
            return current
        if current.number != request.base_number:
            raise errors.StaleNumberError(current.number)
        wanted = patched(current, request)
        try:
            await self._write(wanted, version)
        except platform_errors.VersionConflictError as error:
            return await self._resolve(request, error)
        except platform_errors.PlatformUnavailableError as error:
            return await self._resolve(request, error)
        return wanted

    async def _read_with_version(
        self,
    ) -> tuple[record.ConfigurationRecord, ids.ObjectVersion | None]:
        try:
            found = await self._platform.get(record.CURRENT_KEY)
        except platform_errors.PlatformError as error:
            raise errors.ConfigurationError(
                "the platform gives no answer", retry_after_s=2.0
            ) from error
        if found is None:
            return record.EMPTY, None
        return decode(found), found.version

    async def _write(
        self,
        wanted: record.ConfigurationRecord,
        version: ids.ObjectVersion | None,
    ) -> None:
        if version is None:
            await self._platform.create(record.CURRENT_KEY, wanted)
        else:
            await self._platform.update(record.CURRENT_KEY, wanted, version)

    async def _resolve(
        self, request: PatchRequest, cause: platform_errors.PlatformError
    ) -> record.ConfigurationRecord:
        try:
            current, _ = await self._read_with_version()
        except errors.ConfigurationError as error:
            raise errors.OutcomeUnknownError(
                "the platform gives no answer; submit the same patch again",
                retry_after_s=2.0,
            ) from error
        if _contains(current, request.patch_id):
            return current
        if current.number != request.base_number:
            raise errors.StaleNumberError(current.number)
        raise errors.OutcomeUnknownError(
            "the write may still take effect; submit the same patch again",
            retry_after_s=1.0,
        ) from cause


def patched(
    current: record.ConfigurationRecord, request: PatchRequest
) -> record.ConfigurationRecord:
    """Computes the record that a patch produces.

    Raises:
        errors.InvalidDocumentError: If the result is not valid.
    """
    tree = document.to_tree(current.document)
    merged = json_merge_patch.merge(tree, request.patch)
    number = ids.ConfigurationNumber(current.number + 1)
    entry = record.PatchEntry(
        request.patch_id, number, request.operator, time.time(), request.patch
    )
    recent = (*current.recent_patches, entry)[-record.HISTORY_LENGTH :]
    return record.ConfigurationRecord(number, document.parse(merged), recent)


def decode(found: objects.PlatformObject) -> record.ConfigurationRecord:
    """Decodes the stored record."""
    try:
        return msgspec.json.decode(found.value, type=record.ConfigurationRecord)
    except msgspec.MsgspecError as error:
        raise errors.InvalidDocumentError(str(error)) from error


def _contains(
    current: record.ConfigurationRecord, patch_id: ids.PatchId
) -> bool:
    return any(entry.patch_id == patch_id for entry in current.recent_patches)
