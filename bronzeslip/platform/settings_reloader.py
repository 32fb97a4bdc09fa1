"""Applies changes of the platform's settings file."""

import asyncio
from collections.abc import Callable
import pathlib

from bronzeslip import last_confirmation
from bronzeslip import logs
from bronzeslip.entry import vm_config
from bronzeslip.platform import boot_file_reader

logger = logs.get_logger(__name__)

# The file may change without a SIGHUP.
_CHECK_INTERVAL_S = 5.0


class SettingsReloader:
    """Rereads the settings file on request and periodically.

    Attributes:
        confirmation: Confirmed whenever the file was read.
    """

    def __init__(
        self,
        path: pathlib.Path,
        this_vm: vm_config.VmConfig,
        on_bounds_change: Callable[[vm_config.PlaceBounds], None],
    ) -> None:
        """Creates a reloader.

        Args:
            path: Path of the file.
            this_vm: Configuration read from the file at startup.
            on_bounds_change: Called with the new bounds when they have changed.
        """
        self.confirmation = last_confirmation.LastConfirmation()
        self._reader = boot_file_reader.BootFileReader(path)
        self._this_vm = this_vm
        self._on_bounds_change = on_bounds_change

    async def run(self) -> None:
        """Checks for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Rereads the file; keeps the current settings if that fails."""
        loaded = self._reader.try_read(self._this_vm.bounds)
        if loaded is None:
            return
        self.confirmation.confirm()
        if loaded == self._this_vm:
            return
        if loaded.bounds != self._this_vm.bounds:
            self._on_bounds_change(loaded.bounds)
        logger.info(
            "settings.reloaded",
            bounds=loaded.bounds,
            needs_restart=_needs_restart(loaded, self._this_vm),
        )
        self._this_vm = loaded


def _needs_restart(
    loaded: vm_config.VmConfig, previous: vm_config.VmConfig
) -> bool:
    """Returns whether a setting that is read only at startup has changed."""
    return (
        loaded.caller_address != previous.caller_address
        or loaded.readiness_address != previous.readiness_address
        or loaded.store_address != previous.store_address
        or loaded.peer_address != previous.peer_address
        or loaded.failure_domain != previous.failure_domain
        or loaded.regions != previous.regions
        or _watch_bounds(loaded.bounds) != _watch_bounds(previous.bounds)
        or loaded.contracts != previous.contracts
    )


def _watch_bounds(
    bounds: vm_config.PlaceBounds,
) -> tuple[float | None, ...]:
    """Returns the bounds that the watches of the store depend on."""
    return bounds.config_s, bounds.contact_s, bounds.drain_s, bounds.evac_s
