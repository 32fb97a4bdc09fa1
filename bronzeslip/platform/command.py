"""Command that runs a gateway on a VM of the platform."""

import os
import pathlib

from bronzeslip import daemon_command
from bronzeslip.platform import boot_file
from bronzeslip.platform import gateway
from bronzeslip.settings import entry

_PROGRAM = "bronzeslip-entry"
_DESCRIPTION = "Serves callers on an entry VM."


def main() -> None:
    """Reads the settings and runs the gateway."""
    path = pathlib.Path(os.environ.pop(boot_file.PATH_VARIABLE))
    daemon_command.run(
        entry.EntrySettings,
        _PROGRAM,
        _DESCRIPTION,
        lambda settings: gateway.create(settings, path),
    )
