"""Free ports on this machine."""

import socket


def find() -> int:
    """Returns a port of the loopback address that nobody listens on."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]
