"""Accepted patches that the manifest no longer holds."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.store import client
from bronzeslip.store import errors

PREFIX = "configuration-history/"
PATCHES_PER_BLOCK = 16
MAX_BLOCKS = 256
MAX_STORED_PATCH_BYTES = 2_048

_Patches = tuple[record.PatchEntry, ...]


class PatchHistory:
    """Blocks of consecutive patches, each one object of the platform.

    A block holds BLOCK_PATCHES accepted patches and its content follows from
    their numbers, so it does not matter which gateway writes it, or how often.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    async def find(
        self, current: manifest.Manifest, number: ids.ConfigurationNumber
    ) -> record.PatchEntry | None:
        """Finds the patch that produced a number, if it is still kept."""
        patches = current.recent_patches
        if number <= current.number - len(patches):
            patches = await self.read_block(_block_index(number))
        return next(
            (entry for entry in patches if entry.number == number), None
        )

    async def read_block(self, index: int) -> _Patches:
        """Reads a block, empty if it is not kept."""
        if index < 0:
            return ()
        stored = await self._platform.get(_block_key(index))
        if stored is None:
            return ()
        return msgspec.json.decode(stored.value, type=_Patches)

    async def append(
        self, current: manifest.Manifest, entry: record.PatchEntry
    ) -> _Patches:
        """Returns the manifest's patches with one more.

        When the manifest's own are a whole block, they are kept as one first.
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
    """Deletes an object that nobody needs; another try may do it later."""
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
