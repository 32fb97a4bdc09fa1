# ruff: noqa: ANN001, ANN201, ANN202
"""Crowd of clients that don't behave, as a process of its own.

Usage: crowd.py HOST PORT WAVE..., until it is killed. A wave is the names of
some kinds of clients, joined by "+". The waves come in turn, each for three
seconds. The kinds are those that the news pages name; each client connects
again half a second after its connection was closed.
"""

import asyncio
import contextlib
import itertools
import socket
import sys

import kit

_WAVE_S = 3.0
_PIECE_BYTES = 64 * 1024
_RECONNECT_S = 0.5
_MAX_BODY_BYTES = 4_194_304
# 3,700 fields of four bytes on the wire: 7,400 bytes of names and values in a
# head of 15 KB, of 16,384 bytes that are allowed.
_CALLS = "/award/2f"
_STREAMS = "/spec/2f"
_SHORT_FIELDS = "a:\r\n" * 3_700


def _head(path, more):
    tokens = (3_000, 944) if path == _STREAMS else None
    fields = kit.client_fields(kit.CROWD, 1_500, tokens)
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n" + more).encode()


def _full(body_bytes=None, more="", path=_CALLS):
    if body_bytes is None:
        more += "Transfer-Encoding: chunked\r\n"
    else:
        more += f"Content-Length: {body_bytes}\r\n"
    return _head(path, more) + b"\r\n"


def _pieces(data):
    return lambda: (
        data[start : start + _PIECE_BYTES]
        for start in range(0, len(data), _PIECE_BYTES)
    )


def _endless(head, piece):
    return lambda: itertools.chain((head,), itertools.repeat(piece))


def kinds():
    """Returns the kinds: name, number of clients, pieces and pause."""
    body = b"x" * _MAX_BODY_BYTES
    small = b"x" * 16_000
    large_chunk = b"ea60\r\n%s\r\n" % (b"x" * 60_000)
    many_fields = _full(1, _SHORT_FIELDS) + b"x"
    many_streams = _full(1, _SHORT_FIELDS, _STREAMS) + b"x"
    return (
        # Requests of very many short fields, legal in size, that are sent ahead
        # without reading the answers.
        ("fields ahead", 500, _endless(b"", many_fields), 0.1),
        ("stream fields", 400, _endless(b"", many_streams), 0.1),
        # Bodies of legal size that stop just short of their end.
        ("one piece", 100, _pieces(_full(len(body)) + body[:-1]), 0.0),
        ("small bodies", 300, _pieces(_full(16_000) + small[:-1]), 0.0),
        # Bodies far over the limit, in chunks.
        ("large chunks", 150, _endless(_full(), large_chunk), 0.0),
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


async def _main(host, port, waves):
    known = {name: rest for name, *rest in kinds()}
    for wave in itertools.cycle(waves):
        tasks = [
            asyncio.create_task(_run((host, port), pieces, pause_s))
            for name in wave.split("+")
            for count, pieces, pause_s in (known[name],)
            for _ in range(count)
        ]
        await asyncio.sleep(_WAVE_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3:]))
