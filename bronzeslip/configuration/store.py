"""Reads and patches the configuration stored on the platform."""

import time
from typing import Any

import json_merge_patch
import msgspec

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import errors
from bronzeslip.configuration import history
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segment_store
from bronzeslip.store import client
from bronzeslip.store import errors as platform_errors

_RETRY_AFTER_S = 2.0


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


class AcceptedPatch(msgspec.Struct, frozen=True):
    """Result of a patch that was accepted by this call or an earlier one.

    Attributes:
        number: Number that the patch produced.
        current: Configuration that includes the patch; may be a later one.
    """

    number: ids.ConfigurationNumber
    current: record.ConfigurationRecord


class ConfigurationStore:
    """Reads the stored configuration and applies patches to it.

    Of several patches with the same base number, at most one is accepted.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._segments = segment_store.SegmentStore(platform)
        self._history = history.PatchHistory(platform)

    async def read(self) -> record.ConfigurationRecord:
        """Reads the current configuration with its latest patches.

        Raises:
            errors.ConfigurationError: If the platform does not respond.
        """
        stored = await self._read()
        recent = stored.root.recent_patches
        first = stored.root.number - len(recent)
        try:
            block = await self._history.read_block(
                first // history.PATCHES_PER_BLOCK - 1
            )
        except platform_errors.PlatformError as error:
            raise _unavailable_error() from error
        return msgspec.structs.replace(
            stored.configuration, recent_patches=(*block, *recent)
        )

    async def apply(self, request: PatchRequest) -> AcceptedPatch:
        """Applies a patch if its base number is still current.

        Applying is idempotent: a patch that was already accepted is reported
        as accepted for as long as the history contains it.

        Raises:
            errors.StaleConfigurationError: If another patch was accepted first.
            errors.InvalidDocumentError: If the result is not valid.
            errors.OutcomeUnknownError: If it cannot be determined whether the
                patch was accepted.
            errors.ConfigurationError: If the platform does not respond; the
                patch has not been accepted.
        """
        stored = await self._read()
        if stored.root.number != request.base_number:
            return await self._find_accepted_patch(request, stored)
        desired = apply_merge_patch(stored.configuration, request)
        try:
            root = await self._write_segments_and_history(
                stored.root, desired, request
            )
        except platform_errors.ValueTooLargeError as error:
            raise errors.InvalidDocumentError(
                "a declaration exceeds the platform's maximum object size"
            ) from error
        except platform_errors.PlatformError as error:
            raise _unavailable_error() from error
        return await self._write_manifest(request, stored, root, desired)

    async def _read(self) -> segment_store.StoredConfiguration:
        try:
            return await self._segments.read()
        except platform_errors.PlatformError as error:
            raise _unavailable_error() from error

    async def _write_segments_and_history(
        self,
        base: manifest.Manifest,
        desired: document.Document,
        request: PatchRequest,
    ) -> manifest.Manifest:
        number = ids.ConfigurationNumber(base.number + 1)
        entry = record.PatchEntry(
            request.patch_id,
            number,
            request.operator,
            time.time(),
            request.patch,
        )
        names = await self._segments.write_segments(base, desired)
        patches = await self._history.append(base, entry)
        return manifest.Manifest(number, names, patches)

    async def _write_manifest(
        self,
        request: PatchRequest,
        base: segment_store.StoredConfiguration,
        root: manifest.Manifest,
        desired: document.Document,
    ) -> AcceptedPatch:
        try:
            await self._segments.write_manifest(root, base.version)
        except (
            platform_errors.VersionConflictError,
            platform_errors.PlatformUnavailableError,
        ) as error:
            return await self._resolve_outcome(request, error)
        await self._segments.remove_unused(root)
        return AcceptedPatch(
            root.number,
            record.ConfigurationRecord(
                root.number, desired, root.recent_patches
            ),
        )

    async def _resolve_outcome(
        self, request: PatchRequest, cause: platform_errors.PlatformError
    ) -> AcceptedPatch:
        try:
            stored = await self._read()
        except errors.ConfigurationError as error:
            raise errors.OutcomeUnknownError(
                "the platform does not respond; submit the same patch again",
                retry_after_s=_RETRY_AFTER_S,
            ) from error
        if stored.root.number == request.base_number:
            raise errors.OutcomeUnknownError(
                "the write may still take effect; submit the same patch again",
                retry_after_s=_RETRY_AFTER_S,
            ) from cause
        await self._segments.remove_unused(stored.root)
        return await self._find_accepted_patch(request, stored)

    async def _find_accepted_patch(
        self,
        request: PatchRequest,
        stored: segment_store.StoredConfiguration,
    ) -> AcceptedPatch:
        number = ids.ConfigurationNumber(request.base_number + 1)
        if number > stored.root.number or number < 1:
            raise errors.StaleConfigurationError(stored.root.number)
        try:
            entry = await self._history.find(stored.root, number)
        except platform_errors.PlatformError as error:
            raise errors.OutcomeUnknownError(
                "the platform does not respond; submit the same patch again",
                retry_after_s=_RETRY_AFTER_S,
            ) from error
        if entry is None:
            raise errors.OutcomeUnknownError(
                f"number {number} is no longer in the patch history; the "
                f"current configuration number is {stored.root.number}"
            )
        if entry.patch_id != request.patch_id:
            raise errors.StaleConfigurationError(stored.root.number)
        return AcceptedPatch(number, stored.configuration)


def apply_merge_patch(
    current: record.ConfigurationRecord, request: PatchRequest
) -> document.Document:
    """Returns the document that results from a patch.

    Raises:
        errors.InvalidDocumentError: If the result is not valid.
    """
    tree = document.to_tree(current.document)
    return document.parse(json_merge_patch.merge(tree, request.patch))


def _unavailable_error() -> errors.ConfigurationError:
    return errors.ConfigurationError(
        "the platform does not respond", retry_after_s=_RETRY_AFTER_S
    )
