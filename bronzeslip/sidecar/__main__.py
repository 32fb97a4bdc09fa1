"""Entry point of the bronzeslip-sidecar command."""

from bronzeslip import daemon_command
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import daemon

_PROGRAM = "bronzeslip-sidecar"
_DESCRIPTION = "Serves one endpoint to the gateways."


def main() -> None:
    """Reads the settings and runs the sidecar."""
    daemon_command.run(
        sidecar.SidecarSettings, _PROGRAM, _DESCRIPTION, daemon.SidecarDaemon
    )


if __name__ == "__main__":
    main()
