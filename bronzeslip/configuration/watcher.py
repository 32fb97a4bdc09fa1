"""Activates configurations as their platform objects arrive."""

from bronzeslip import isolation
from bronzeslip import logs
from bronzeslip.configuration import errors
from bronzeslip.configuration import in_force
from bronzeslip.configuration import manifest
from bronzeslip.configuration import record
from bronzeslip.configuration import segment_cache
from bronzeslip.store import objects

logger = logs.get_logger(__name__)


class ConfigurationWatcher:
    """Activates a configuration once all of its segments have arrived."""

    def __init__(
        self, active_configuration: in_force.ActiveConfiguration
    ) -> None:
        self._active_configuration = active_configuration
        self._cache = segment_cache.SegmentCache()
        self._root: manifest.Manifest | None = None

    async def on_list(self, listed: objects.ObjectList) -> None:
        """Processes a full listing of the configuration prefix."""
        present = {stored.key for stored in listed.objects}
        for name in self._cache.names():
            if manifest.segment_key(name) not in present:
                self._cache.remove(manifest.segment_key(name))
        for stored in listed.objects:
            with isolation.isolated(
                logger, "configuration.object_failed", key=stored.key
            ):
                self._cache_object(stored)
        with isolation.isolated(logger, "configuration.not_activated"):
            if not listed.objects:
                await self._active_configuration.activate(record.EMPTY)
            await self._activate_if_complete()

    async def on_event(self, event: objects.ObjectEvent) -> None:
        """Processes a change that followed the listing."""
        if event.kind is objects.EventKind.DELETE:
            self._cache.remove(event.key)
            return
        self._cache_object(
            objects.PlatformObject(event.key, event.version, event.value)
        )
        await self._activate_if_complete()

    def _cache_object(self, stored: objects.PlatformObject) -> None:
        try:
            if stored.key == manifest.MANIFEST_KEY:
                self._root = segment_cache.decode_manifest(stored)
            elif stored.key.startswith(manifest.SEGMENTS_PREFIX):
                self._cache.add(stored)
        except errors.InvalidDocumentError as error:
            logger.error(
                "configuration.unreadable", key=stored.key, reason=error.message
            )

    async def _activate_if_complete(self) -> None:
        root = self._root
        if root is None or root.number <= self._active_configuration.number:
            return
        if self._cache.has_all_segments(root):
            await self._active_configuration.activate(
                self._cache.assemble(root)
            )
