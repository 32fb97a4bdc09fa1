# ruff: noqa: ANN001, ANN201, ANN202
"""Crowd of clients that don't behave, as a process of its own.

Usage: crowd.py HOST PORT [KIND...], until it is killed. The kinds of clients
are those that the news pages name; each client connects again half a second
after its connection was closed.
"""

import asyncio
import contextlib
import itertools
import socket
import sys

import kit

_PIECE_BYTES = 64 * 1024
_RECONNECT_S = 0.5
_MAX_BODY_BYTES = 4_194_304
# 3,700 fields of four bytes on the wire: 7,400 bytes of names and values in a
# head of 15 KB, of 16,384 bytes that are allowed.
_SHORT_FIELDS = "a:\r\n" * 3_700


def _head(method="POST", path="/award/2f", more=""):
    fields = kit.client_fields("crowd", 1_500)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n" + more).encode()


def _full(body_bytes=None, more=""):
    if body_bytes is None:
        more += "Transfer-Encoding: chunked\r\n"
    else:
        more += f"Content-Length: {body_bytes}\r\n"
    return _head(more=more) + b"\r\n"


def _pieces(data):
    return lambda: (
        data[start : start + _PIECE_BYTES]
        for start in range(0, len(data), _PIECE_BYTES)
    )


def _endless(head, piece):
    return lambda: itertools.chain((head,), itertools.repeat(piece))


def kinds():
    """Returns for each kind: its name, clients, pieces and pause."""
    body = b"x" * _MAX_BODY_BYTES
    small = b"x" * 16_000
    large_chunk = b"ea60\r\n%s\r\n" % (b"x" * 60_000)
    one_byte = b"1\r\nx\r\n" * 10_000
    many_fields = _full(1, _SHORT_FIELDS) + b"x"
    return (
        # Bodies of legal size that stop just short of their end.
        ("one piece", 60, _pieces(_full(len(body)) + body[:-1]), 0.0),
        ("small bodies", 300, _pieces(_full(16_000) + small[:-1]), 0.0),
        # Bodies far over the limit, in large chunks and in small ones.
        ("large chunks", 100, _endless(_full(), large_chunk), 0.0),
        ("one byte chunks", 60, _endless(_full(), one_byte), 0.0),
        # Requests of very many short fields that stop half-way.
        ("fields", 200, _pieces(_full(1_000, _SHORT_FIELDS) + b"x"), 0.0),
        # Requests sent ahead without reading the answers.
        ("fields ahead", 300, _endless(b"", many_fields), 0.1),
        ("ahead", 80, _pieces((_full(1) + b"x") * 4_000), 0.0),
        ("bodies ahead", 80, _pieces((_full(48_000) + small * 3) * 40), 0.0),
    )


async def _run(address, pieces, pause_s):
    while True:
        with contextlib.suppress(OSError):
            await _connect_once(address, pieces, pause_s)
        await asyncio.sleep(_RECONNECT_S)


async def _connect_once(address, pieces, pause_s):
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        for piece in pieces():
            await loop.sock_sendall(connection, piece)
            await asyncio.sleep(pause_s)
        while True:
            # Notices that the connection was closed; nothing is read.
            await asyncio.sleep(0.5)
            with contextlib.suppress(BlockingIOError):
                if not connection.recv(1, socket.MSG_PEEK):
                    return


async def _main(host, port, names):
    tasks = [
        asyncio.create_task(_run((host, port), pieces, pause_s))
        for name, count, pieces, pause_s in kinds()
        if not names or name in names
        for _ in range(count)
    ]
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3:]))
