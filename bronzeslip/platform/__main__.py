"""Runs a gateway on a VM of the platform."""

import importlib
import os
import signal
import types

_COMMAND_MODULE = "bronzeslip.platform.command"


def main() -> None:
    """Runs the command.

    Its modules take up to seconds to import on a small VM. A request to reload
    the settings must not end the process meanwhile; they are read later. A
    request to shut down ends it at once, as it has nothing to complete yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end)
    importlib.import_module(_COMMAND_MODULE).main()


def _end(_number: int, _frame: types.FrameType | None) -> None:
    os._exit(os.EX_OK)


if __name__ == "__main__":
    main()
