"""Loopback addresses that no other process on this machine listens on."""

import itertools
import os

# Below the ephemeral ports, which the kernel gives to outgoing connections.
_FIRST_PORT = 20_000

_ports = itertools.count(_FIRST_PORT)


def host(process_id: int | None = None) -> str:
    """Returns the loopback address that is derived from a process id.

    Args:
        process_id: Id of the process; the current one if None.
    """
    number = os.getpid() if process_id is None else process_id
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def next_port() -> int:
    """Returns a port that this process has not used on its address yet."""
    return next(_ports)
