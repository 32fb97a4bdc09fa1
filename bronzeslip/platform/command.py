"""Command that runs a gateway on a VM of the platform."""

import os
import pathlib
import sys

from bronzeslip import daemon_command
from bronzeslip.platform import boot_file
from bronzeslip.platform import errors
from bronzeslip.platform import starting_gateway
from bronzeslip.settings import entry

_PROGRAM = "bronzeslip-entry"
_DESCRIPTION = "Serves callers on an entry VM."


_FAILED_EXIT_STATUS = 1


def main() -> None:
    """Reads the settings and runs the gateway."""
    path = os.environ.pop(boot_file.PATH_VARIABLE, "")
    if not path:
        error = errors.BootFileError(f"{boot_file.PATH_VARIABLE}: missing")
        print(f"{_PROGRAM}: {error.code}: {error.message}", file=sys.stderr)
        sys.exit(_FAILED_EXIT_STATUS)
    daemon_command.run(
        entry.EntrySettings,
        _PROGRAM,
        _DESCRIPTION,
        lambda settings: starting_gateway.StartingGateway(
            settings, pathlib.Path(path)
        ),
    )
