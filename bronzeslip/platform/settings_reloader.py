"""Takes over changes of the platform's settings file."""

import asyncio
from collections.abc import Callable
import pathlib

from bronzeslip import logs
from bronzeslip.entry import place
from bronzeslip.platform import boot_file
from bronzeslip.platform import errors

logger = logs.get_logger(__name__)

# The file may change without a signal.
_CHECK_INTERVAL_S = 5.0


class SettingsReloader:
    """Reads the file when told, and now and then by itself."""

    def __init__(
        self,
        path: pathlib.Path,
        here: place.VmPlace,
        on_bounds: Callable[[place.PlaceBounds], None],
    ) -> None:
        """Creates a reloader.

        Args:
            path: Where the file is.
            here: What it said at the start.
            on_bounds: Called with changed bounds.
        """
        self._path = path
        self._here = here
        self._on_bounds = on_bounds

    async def run(self) -> None:
        """Looks for changes until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Reads the file; one that can't be read changes nothing."""
        try:
            found = boot_file.read(self._path)
        except errors.AdapterError as error:
            logger.error("settings.unreadable", reason=error.message)
            return
        if found == self._here:
            return
        if found.bounds != self._here.bounds:
            self._on_bounds(found.bounds)
        logger.info(
            "settings.reloaded",
            bounds=found.bounds,
            needs_restart=_needs_restart(found, self._here),
        )
        self._here = found


def _needs_restart(found: place.VmPlace, before: place.VmPlace) -> bool:
    """Tells whether something changed that is only read at the start."""
    return (
        found.callers != before.callers
        or found.readiness != before.readiness
        or found.store != before.store
        or found.failure_domain != before.failure_domain
    )
