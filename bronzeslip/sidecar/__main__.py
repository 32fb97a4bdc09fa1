"""Command bronzeslip-sidecar."""

import asyncio
import os
import sys

from bronzeslip import logs
from bronzeslip.settings import parser
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import daemon

_PROGRAM = "bronzeslip-sidecar"
_DESCRIPTION = "Serves one endpoint to the gateways."


def main() -> None:
    """Reads the settings and runs the sidecar."""
    settings = parser.parse_or_exit(
        sidecar.SidecarSettings,
        _PROGRAM,
        _DESCRIPTION,
        sys.argv[1:],
        os.environ,
    )
    logs.configure(settings.log_format, settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: sidecar.SidecarSettings) -> None:
    await daemon.SidecarDaemon(settings).run()


if __name__ == "__main__":
    main()
