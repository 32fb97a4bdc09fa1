"""Runs a gateway on a VM of the platform."""

import importlib
import signal

_COMMAND_MODULE = "bronzeslip.platform.command"


def main() -> None:
    """Runs the command.

    Its modules take up to seconds to import on a small VM. A request to reload
    the settings must not end the process meanwhile; they are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(_COMMAND_MODULE).main()


if __name__ == "__main__":
    main()
