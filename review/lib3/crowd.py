"""A crowd of clients that don't behave, as a process of its own.

Usage: python3 -m review.lib3.crowd HOST PORT COUNT

Each sends a body of legal size in one piece and stops just short of its end. It
stays connected and, once its connection is closed, comes again half a second
later.
"""

import asyncio
import contextlib
import socket
import sys

from review.lib3 import callers
from review.lib3 import gateway

# As in the configuration: max_body_bytes.
_BODY_BYTES = 4_194_304
_AGAIN_S = 0.5
_HEAD = (
    f"POST /calls/ HTTP/1.1\r\nHost: {callers.HOST}\r\n"
    f"Bronzeslip-Attempt-Id: 9c41d07be2a35f68\r\n"
    f"Bronzeslip-Deadline-Ms: 2500\r\nBronzeslip-Key: {callers.KEY}\r\n"
    f"Content-Length: {_BODY_BYTES}\r\n\r\n"
).encode()
_REQUEST = memoryview(_HEAD + b"x" * (_BODY_BYTES - 1))


async def _client(address: tuple[str, int]) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _connect_once(address)
        await asyncio.sleep(_AGAIN_S)


async def _connect_once(address: tuple[str, int]) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        sending = asyncio.create_task(loop.sock_sendall(connection, _REQUEST))
        try:
            while not sending.done() or sending.exception() is None:
                await asyncio.sleep(1)
                with contextlib.suppress(BlockingIOError):
                    if not connection.recv(65_536):
                        return
        finally:
            sending.cancel()
            await asyncio.wait((sending,))


async def _run(host: str, port: int, count: int) -> None:
    gateway.allow_descriptors()
    clients = [asyncio.create_task(_client((host, port))) for _ in range(count)]
    await asyncio.wait(clients)


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
