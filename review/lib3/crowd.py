"""A crowd of clients that don't behave, as a process of its own.

Usage: python3 -m review.lib3.crowd HOST PORT COUNT BEHAVIOUR

What they send is what the users name: see the functions below. A client whose
connection is closed comes again after half a second. None reads an answer.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import itertools
import socket
import sys

_HOST = "ficu95.example"
_KEY = "xd9dnn2ctnfzs989anu6"
_PIECE_BYTES = 64 * 1024
_AGAIN_S = 0.5

# What one client sends, piece by piece.
_Pieces = Callable[[], Iterable[bytes]]


def _head(path: str, fields: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {_HOST}\r\n"
        f"Bronzeslip-Attempt-Id: 9c41d07be2a35f68\r\n"
        f"Bronzeslip-Deadline-Ms: 2500\r\nBronzeslip-Key: {_KEY}\r\n"
        f"{fields}\r\n"
    ).encode()


def _sent_ahead(field_count: int) -> _Pieces:
    """Requests of many short fields, sent ahead without reading answers.

    Each is legal in size: max_header_bytes is 16,384 in the configuration.
    """
    request = _head("/none/", "a:\r\n" * field_count + "Content-Length: 0\r\n")
    return lambda: itertools.repeat(request, 30)


def _small_chunks() -> _Pieces:
    """A body in very small chunks that goes on."""
    head = _head("/calls/", "Transfer-Encoding: chunked\r\n")
    return lambda: itertools.chain(
        (head,), itertools.repeat(b"1\r\nx\r\n" * 10_000)
    )


def _nearly_whole() -> _Pieces:
    """A body of legal size that stops just short of its end."""
    head = _head("/calls/", "Content-Length: 4194304\r\n")
    return lambda: itertools.chain((head,), itertools.repeat(b"x" * 65535, 64))


def _legal_chunked() -> _Pieces:
    """A body of legal size in chunks of a byte that stops just short."""
    head = _head("/calls/", "Transfer-Encoding: chunked\r\n")
    return lambda: itertools.chain(
        (head,), itertools.repeat(b"1\r\nx\r\n" * 10_000, 50)
    )


_BEHAVIOURS = {
    "fields1500": _sent_ahead(1500),
    "fields3500": _sent_ahead(3500),
    "chunks": _small_chunks(),
    "legal-chunks": _legal_chunked(),
    "bodies": _nearly_whole(),
}


async def _client(address: tuple[str, int], pieces: _Pieces) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _connect_once(address, pieces)
        await asyncio.sleep(_AGAIN_S)


async def _connect_once(address: tuple[str, int], pieces: _Pieces) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        await loop.sock_connect(connection, address)
        sending = asyncio.create_task(_send(connection, pieces))
        try:
            while not sending.done() or sending.exception() is None:
                await asyncio.sleep(1)
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return
                except BlockingIOError:
                    pass
        finally:
            sending.cancel()
            await asyncio.wait((sending,))


async def _send(connection: socket.socket, pieces: _Pieces) -> None:
    loop = asyncio.get_running_loop()
    for piece in pieces():
        await loop.sock_sendall(connection, piece)
        await asyncio.sleep(0)


async def _run(host: str, port: int, count: int, behaviour: str) -> None:
    pieces = _BEHAVIOURS[behaviour]
    clients = [
        asyncio.create_task(_client((host, port), pieces)) for _ in range(count)
    ]
    await asyncio.wait(clients)


if __name__ == "__main__":
    asyncio.run(
        _run(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4])
    )
