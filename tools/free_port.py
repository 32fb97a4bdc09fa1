"""Free ports on this machine."""

import random
import socket

# Below the ports that the kernel gives to outgoing connections: one of these
# could take a port between its choice and its use.
_FIRST_PORT = 20_000
_LAST_PORT = 31_999

_rng = random.SystemRandom()
_handed_out: set[int] = set()


def find() -> int:
    """Returns a port of the loopback address that nobody listens on."""
    while True:
        port = _rng.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _handed_out and _is_free(port):
            _handed_out.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as tried:
        tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tried.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
