# ruff: noqa: ANN001, ANN201
"""Case 9: clients that don't behave drive a gateway beyond its memory.

Two gateways serve ordinary clients. A crowd of clients of the kinds that the
news pages name stands at each of them. The platform kills a process that
exceeds memory_mb and starts it again. Judged is how often that happens.
"""

import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "lib2"))

import kit
import machine

_LIB = pathlib.Path(kit.__file__).parent
_TROUBLE_S = 60.0
_WAVES = (
    "fields ahead+stream fields",
    "one piece+large chunks+small bodies",
)


def _start_crowd(gateway) -> subprocess.Popen:
    address = (gateway.host, str(gateway.front))
    return subprocess.Popen(
        [sys.executable, _LIB / "crowd.py", *address, *_WAVES]
    )


async def play(record, folder):
    """Plays the case; returns whether the rule held."""
    start_crowd = _start_crowd if kit.is_trouble_on() else None
    return await machine.play(record, folder, start_crowd, _TROUBLE_S)


if __name__ == "__main__":
    kit.main(play, pathlib.Path(__file__).parent)
