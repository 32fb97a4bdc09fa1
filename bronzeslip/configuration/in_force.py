"""The configuration that is active in a process.

Log events and status documents call the active configuration "in force".
"""

import asyncio
from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import listeners
from bronzeslip import logs
from bronzeslip.configuration import errors
from bronzeslip.configuration import index
from bronzeslip.configuration import record

logger = logs.get_logger(__name__)


class ActiveConfiguration:
    """Holds the configuration with the highest number seen so far."""

    def __init__(self) -> None:
        self._record: record.ConfigurationRecord | None = None
        self._index: index.ConfigurationIndex | None = None
        self._changed = asyncio.Condition()
        self._listeners = listeners.Listeners[[]]("configuration")

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each activation."""
        self._listeners.add(listener)

    @property
    def number(self) -> ids.ConfigurationNumber:
        """Number of the active configuration, or -1 if there is none."""
        if self._record is None:
            return ids.ConfigurationNumber(-1)
        return self._record.number

    @property
    def current(self) -> record.ConfigurationRecord:
        """The active configuration.

        Raises:
            errors.NoConfigurationError: If none is active yet.
        """
        if self._record is None:
            raise errors.NoConfigurationError(
                "no configuration is active yet", retry_after_s=1.0
            )
        return self._record

    @property
    def index(self) -> index.ConfigurationIndex:
        """Lookup tables of the active configuration.

        Raises:
            errors.NoConfigurationError: If none is active yet.
        """
        if self._index is None:
            raise errors.NoConfigurationError(
                "no configuration is active yet", retry_after_s=1.0
            )
        return self._index

    async def activate(self, candidate: record.ConfigurationRecord) -> bool:
        """Activates a configuration if its number is higher than the current.

        Returns:
            Whether the configuration was activated.
        """
        if candidate.number <= self.number:
            return False
        new_index = index.ConfigurationIndex(candidate.document)
        self._record, self._index = candidate, new_index
        logger.info("configuration.in_force", number=candidate.number)
        self._listeners.notify()
        async with self._changed:
            self._changed.notify_all()
        return True

    async def wait_for(self, number: ids.ConfigurationNumber) -> None:
        """Waits until a configuration of at least this number is active."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.number >= number)
