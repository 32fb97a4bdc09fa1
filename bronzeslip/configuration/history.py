"""History of accepted patches that the manifest no longer contains."""

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.store import client
from bronzeslip.store import errors

logger = logs.get_logger(__name__)

PREFIX = "configuration-history/"
PATCHES_PER_BLOCK = 16
MAX_BLOCKS = 256
MAX_STORED_PATCH_BYTES = 2_048

_Patches = tuple[record.PatchEntry, ...]


class PatchHistory:
    """Stores blocks of consecutive patches, one platform object per block.

    A block holds PATCHES_PER_BLOCK accepted patches. Its content is determined
    by their numbers, so any gateway may write it, and writing it again is
    harmless.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def find(
        self, current: manifest.Manifest, number: ids.ConfigurationNumber
    ) -> record.PatchEntry | None:
        """Returns the patch that produced a number, or None if not stored."""
        patches = current.recent_patches
        if number <= current.number - len(patches):
            patches = await self.read_block(_block_index(number))
        return next(
            (entry for entry in patches if entry.number == number), None
        )

    async def read_block(self, index: int) -> _Patches:
        """Reads a block; returns an empty tuple without a readable one."""
        if index < 0:
            return ()
        stored = await self._platform.get(_block_key(index))
        if stored is None:
            return ()
        try:
            return untrusted.from_json(stored.value, _Patches)
        except decoding_errors.UndecodableError as error:
            logger.error(
                "configuration.unreadable",
                key=stored.key,
                reason=error.message,
            )
            return ()

    async def append(
        self, current: manifest.Manifest, entry: record.PatchEntry
    ) -> _Patches:
        """Returns the manifest's recent patches with a new one appended.

        If the recent patches already fill a block, they are first stored as a
        block and the new patch starts an empty list.
        """
        patches = current.recent_patches
        if len(patches) >= PATCHES_PER_BLOCK:
            await self._store_block(_block_index(patches[0].number), patches)
            patches = ()
        return (*patches, _without_oversized_patch(entry))

    async def _store_block(self, index: int, patches: _Patches) -> None:
        try:
            await self._platform.create(_block_key(index), patches)
        except errors.VersionConflictError:
            pass
        except errors.PlatformUnavailableError:
            if not await self.read_block(index):
                raise
        await self._delete_block(index - MAX_BLOCKS)

    async def _delete_block(self, index: int) -> None:
        if index < 0:
            return
        stored = await self._platform.get(_block_key(index))
        if stored is not None:
            await delete_if_unchanged(
                self._platform, stored.key, stored.version
            )


async def delete_if_unchanged(
    platform: client.PlatformClient,
    key: ids.ObjectKey,
    version: ids.ObjectVersion,
) -> None:
    """Deletes an unused object if its version still matches.

    Platform errors are ignored: the object is unused, and a later attempt may
    delete it.
    """
    try:
        await platform.delete(key, version)
    except errors.PlatformError:
        return


def _block_index(number: ids.ConfigurationNumber) -> int:
    return (number - 1) // PATCHES_PER_BLOCK


def _block_key(index: int) -> ids.ObjectKey:
    return ids.ObjectKey(f"{PREFIX}{index:012d}")


def _without_oversized_patch(entry: record.PatchEntry) -> record.PatchEntry:
    if len(msgspec.json.encode(entry.patch)) <= MAX_STORED_PATCH_BYTES:
        return entry
    return msgspec.structs.replace(entry, patch=None)
