"""Clients that ignore what a server asks of them, many at once."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import socket

import msgspec

_RECEIVE_BUFFER_BYTES = 16_384
# Time after which a client whose connection was closed connects again.
_RECONNECT_S = 0.5
_PIECE_BYTES = 64 * 1024

Pieces = Callable[[], Iterator[bytes]]


class Behaviour(msgspec.Struct, frozen=True):
    """What each client of a crowd does.

    Attributes:
        pieces: Returns what it sends, piece by piece. It stays connected after
            the last one.
        piece_pause_s: Time between two pieces, in seconds.
        read_bytes_per_s: Bytes that it reads each second.
    """

    pieces: Pieces
    piece_pause_s: float = 0.0
    read_bytes_per_s: int = 0


def once(data: bytes) -> Pieces:
    """Sends the same bytes once."""
    starts = range(0, len(data), _PIECE_BYTES)
    return lambda: (data[start : start + _PIECE_BYTES] for start in starts)


def without_end(head: bytes, piece: bytes) -> Pieces:
    """Sends a head and then the same piece forever."""
    return lambda: itertools.chain((head,), itertools.repeat(piece))


@contextlib.asynccontextmanager
async def crowd(
    address: tuple[str, int], count: int, behaviour: Behaviour
) -> AsyncIterator[None]:
    """Keeps a number of clients connected."""
    tasks = [
        asyncio.create_task(_run(address, behaviour)) for _ in range(count)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def _run(address: tuple[str, int], behaviour: Behaviour) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _connect_once(address, behaviour)
        await asyncio.sleep(_RECONNECT_S)


async def _connect_once(address: tuple[str, int], behaviour: Behaviour) -> None:
    """Runs one connection until the server resets it."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        sending = asyncio.create_task(_send(connection, behaviour))
        try:
            await _read(connection, behaviour, sending)
        finally:
            sending.cancel()
            await asyncio.wait((sending,))


async def _send(connection: socket.socket, behaviour: Behaviour) -> None:
    loop = asyncio.get_running_loop()
    for piece in behaviour.pieces():
        await loop.sock_sendall(connection, piece)
        await asyncio.sleep(behaviour.piece_pause_s)


async def _read(
    connection: socket.socket, behaviour: Behaviour, sending: asyncio.Task
) -> None:
    loop = asyncio.get_running_loop()
    while not (sending.done() and sending.exception()):
        await asyncio.sleep(1)
        if _is_closed(connection):
            return
        if behaviour.read_bytes_per_s:
            reading = loop.sock_recv(connection, behaviour.read_bytes_per_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reading


def _is_closed(connection: socket.socket) -> bool:
    """Whether the server has ended the connection and nothing is unread."""
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
