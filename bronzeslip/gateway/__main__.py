"""Command bronzeslip-gateway."""

import asyncio
import os
import sys

from bronzeslip import logs
from bronzeslip.gateway import daemon
from bronzeslip.settings import gateway
from bronzeslip.settings import parser

_PROGRAM = "bronzeslip-gateway"
_DESCRIPTION = "Serves callers and operators."


def main() -> None:
    """Reads the settings and runs the gateway."""
    settings = parser.parse_or_exit(
        gateway.GatewaySettings,
        _PROGRAM,
        _DESCRIPTION,
        sys.argv[1:],
        os.environ,
    )
    logs.configure(settings.log_format, settings.log_level)
    asyncio.run(_run(settings))


async def _run(settings: gateway.GatewaySettings) -> None:
    await daemon.GatewayDaemon(settings).run()


if __name__ == "__main__":
    main()
