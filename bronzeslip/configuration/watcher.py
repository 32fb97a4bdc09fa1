"""Puts configurations in force as their objects arrive."""

from bronzeslip import logs
from bronzeslip.configuration import errors
from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segment_cache
from bronzeslip.store import objects

logger = logs.get_logger(__name__)


class ConfigurationWatcher:
    """Adopts a configuration once all of its segments have arrived."""

    def __init__(self, holder: in_force.ConfigurationInForce) -> None:
        self._holder = holder
        self._cache = segment_cache.SegmentCache()
        self._root: manifest.Manifest | None = None

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Takes the whole state of the prefix."""
        present = {found.key for found in listed.objects}
        for name in self._cache.names():
            if manifest.segment_key(name) not in present:
                self._cache.remove(manifest.segment_key(name))
        for found in listed.objects:
            self._take(found)
        if not listed.objects:
            await self._holder.adopt(record.EMPTY)
        await self._adopt()

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Takes one later change."""
        if event.kind is objects.EventKind.DELETE:
            self._cache.remove(event.key)
            return
        self._take(
            objects.PlatformObject(event.key, event.version, event.value)
        )
        await self._adopt()

    def _take(self, found: objects.PlatformObject) -> None:
        try:
            if found.key == manifest.MANIFEST_KEY:
                self._root = segment_cache.decode_manifest(found)
            elif found.key.startswith(manifest.SEGMENTS_PREFIX):
                self._cache.add(found)
        except errors.InvalidDocumentError as error:
            logger.error(
                "configuration.unreadable", key=found.key, reason=error.message
            )

    async def _adopt(self) -> None:
        root = self._root
        if root is None or root.number <= self._holder.number:
            return
        if self._cache.holds(root):
            await self._holder.adopt(self._cache.record_of(root))
