"""The configuration that a process has in force."""

import asyncio
from collections.abc import Callable

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.configuration import errors
from bronzeslip.configuration import index
from bronzeslip.configuration import record

logger = logs.get_logger(__name__)


class ActiveConfiguration:
    """Holds the highest configuration this process has seen."""

    def __init__(self) -> None:
        self._record: record.ConfigurationRecord | None = None
        self._index: index.ConfigurationIndex | None = None
        self._changed = asyncio.Condition()
        self._listeners: set[Callable[[], None]] = set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each adoption from now on."""
        self._listeners.add(listener)

    @property
    def number(self) -> ids.ConfigurationNumber:
        """Number in force, or -1 before the first."""
        if self._record is None:
            return ids.ConfigurationNumber(-1)
        return self._record.number

    @property
    def current(self) -> record.ConfigurationRecord:
        """The record in force.

        Raises:
            errors.NoConfigurationError: Before the first one.
        """
        if self._record is None:
            raise errors.NoConfigurationError(
                "no configuration in force yet", retry_after_s=1.0
            )
        return self._record

    @property
    def index(self) -> index.ConfigurationIndex:
        """Look-up tables of the configuration in force."""
        if self._index is None:
            raise errors.NoConfigurationError(
                "no configuration in force yet", retry_after_s=1.0
            )
        return self._index

    async def activate(self, candidate: record.ConfigurationRecord) -> bool:
        """Puts a record in force if its number is higher.

        Returns:
            Whether the record was adopted.
        """
        if candidate.number <= self.number:
            return False
        new_index = index.ConfigurationIndex(candidate.document)
        self._record, self._index = candidate, new_index
        logger.info("configuration.in_force", number=candidate.number)
        for listener in tuple(self._listeners):
            listener()
        async with self._changed:
            self._changed.notify_all()
        return True

    async def wait_for(self, number: ids.ConfigurationNumber) -> None:
        """Waits until a number or a higher one is in force."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.number >= number)
