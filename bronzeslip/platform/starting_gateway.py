"""Gateway that starts once its settings file is usable."""

import asyncio
import contextlib
import pathlib

from bronzeslip import logs
from bronzeslip import process_memory
from bronzeslip import start_delays
from bronzeslip.entry import vm_config
from bronzeslip.http import shutdown
from bronzeslip.platform import boot_file_reader
from bronzeslip.platform import gateway
from bronzeslip.settings import entry

logger = logs.get_logger(__name__)


class StartingGateway:
    """Waits for the settings file, then runs the gateway.

    The platform may start a process before it has written the file.
    """

    def __init__(
        self, settings: entry.EntrySettings, path: pathlib.Path
    ) -> None:
        """Creates a gateway that does not run yet.

        Args:
            settings: Settings of the gateway.
            path: Path of the platform's settings file.
        """
        self._settings = settings
        self._path = path
        self._signals = shutdown.ShutdownSignals()

    async def run(self) -> None:
        """Runs the gateway until a shutdown is requested."""
        self._signals.install()
        self._signals.on_reload(self._ignore_reload)
        this_vm = await self._wait_for_settings()
        if this_vm is not None:
            daemon = gateway.create(self._settings, self._path, this_vm)
            process_memory.keep_present_objects()
            await daemon.run()

    async def _wait_for_settings(self) -> vm_config.VmConfig | None:
        """Returns what the file holds, or None if a shutdown is requested."""
        reader = boot_file_reader.BootFileReader(self._path)
        delays_s = start_delays.generate()
        while not self._signals.requested.is_set():
            this_vm = reader.try_read()
            if this_vm is not None:
                return this_vm
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(next(delays_s)):
                    await self._signals.requested.wait()
        return None

    def _ignore_reload(self) -> None:
        """Leaves the file to the next read, which is due soon."""
        logger.info("settings.reload_ignored")
