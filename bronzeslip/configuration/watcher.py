"""Follows the configuration by a watch on the platform."""

from bronzeslip import logs
from bronzeslip.configuration import errors
from bronzeslip.configuration import in_force
from bronzeslip.configuration import record
from bronzeslip.configuration import store
from bronzeslip.platform import client
from bronzeslip.platform import follower
from bronzeslip.platform import objects

logger = logs.get_logger(__name__)


class ConfigurationWatcher:
    """Keeps a process's configuration up to date from the platform."""

    def __init__(
        self,
        platform: client.PlatformClient,
        holder: in_force.ConfigurationInForce,
    ) -> None:
        self._holder = holder
        self._follower = follower.PrefixFollower(
            platform, record.CURRENT_KEY, self._on_list, self._on_event
        )

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        await self._follower.run()

    async def _on_list(self, listed: objects.ObjectList) -> None:
        for found in listed.objects:
            await self._adopt(found)
        if not listed.objects:
            await self._holder.adopt(record.EMPTY)

    async def _on_event(self, event: objects.ObjectEvent) -> None:
        if event.kind is objects.EventKind.PUT:
            await self._adopt(
                objects.PlatformObject(event.key, event.version, event.value)
            )

    async def _adopt(self, found: objects.PlatformObject) -> None:
        try:
            await self._holder.adopt(store.decode(found))
        except errors.InvalidDocumentError as error:
            logger.error("configuration.unreadable", reason=error.message)
