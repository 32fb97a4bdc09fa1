"""Entry point of the bronzeslip-gateway command."""

from bronzeslip import daemon_command
from bronzeslip.gateway import daemon
from bronzeslip.settings import gateway

_PROGRAM = "bronzeslip-gateway"
_DESCRIPTION = "Serves callers and operators."


def main() -> None:
    """Reads the settings and runs the gateway."""
    daemon_command.run(
        gateway.GatewaySettings, _PROGRAM, _DESCRIPTION, daemon.GatewayDaemon
    )


if __name__ == "__main__":
    main()
