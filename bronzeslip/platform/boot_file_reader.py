"""Reads the settings file repeatedly."""

import pathlib
import time

from bronzeslip import logs
from bronzeslip.entry import vm_config
from bronzeslip.platform import boot_file
from bronzeslip.platform import errors
from bronzeslip.platform import place_bounds

logger = logs.get_logger(__name__)

_REPEATED_LOG_INTERVAL_S = 60.0


class BootFileReader:
    """Reads the settings file; logs once why it is unusable, then rarely."""

    def __init__(self, path: pathlib.Path) -> None:
        """Creates a reader.

        Args:
            path: Path of the file.
        """
        self._path = path
        self._last_reason = ""
        self._logged_s = 0.0
        self._is_region_known = True

    def try_read(
        self, known_bounds: vm_config.PlaceBounds = place_bounds.CAUTIOUS_BOUNDS
    ) -> vm_config.VmConfig | None:
        """Reads the file; returns None if it is unusable.

        Args:
            known_bounds: Bounds to keep in place of those that can't be used.
        """
        try:
            this_vm = boot_file.read(self._path, known_bounds)
        except errors.BootFileError as error:
            self._log(error.message)
            return None
        self._last_reason = ""
        self._check_region(this_vm)
        return this_vm

    def _check_region(self, this_vm: vm_config.VmConfig) -> None:
        """Logs if the region, which is optional, is missing from now on."""
        is_known = this_vm.failure_domain in this_vm.regions
        if self._is_region_known and not is_known:
            logger.warning(
                "settings.no_region", failure_domain=this_vm.failure_domain
            )
        self._is_region_known = is_known

    def _log(self, reason: str) -> None:
        now_s = time.monotonic()
        is_repeated = now_s - self._logged_s >= _REPEATED_LOG_INTERVAL_S
        if reason != self._last_reason or is_repeated:
            logger.error("settings.unreadable", reason=reason)
            self._last_reason = reason
            self._logged_s = now_s
