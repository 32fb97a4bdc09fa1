"""Responses of the model endpoint stand-in that strain its callers."""

from collections.abc import AsyncIterator
from collections.abc import Mapping

import litestar
from litestar import response

_COMMAND_BYTES = 64
_CHUNK_BYTES = 65_536
_CHUNK_COUNT = 128


def create(body: bytes, headers: Mapping[str, str]) -> litestar.Response | None:
    """Creates the response that a request body selects, if it selects one.

    Args:
        body: Name of the response, and text that may follow after a space.
        headers: Headers of the response.
    """
    name, _, argument = body[:_COMMAND_BYTES].partition(b" ")
    if name == b"discard":
        return _whole(b"ran " + argument.split(b" ", 1)[0], headers)
    if name == b"large":
        return _whole(bytes(int(argument)), headers)
    if name == b"cut-off":
        return _stream(_cut_off(), headers)
    if name == b"endless-event":
        return _stream(_endless_event(), headers)
    if name == b"many-events":
        return _stream(_many_events(), headers)
    return None


def _whole(content: bytes, headers: Mapping[str, str]) -> litestar.Response:
    return litestar.Response(
        content, headers=headers, media_type="application/octet-stream"
    )


def _stream(
    chunks: AsyncIterator[bytes], headers: Mapping[str, str]
) -> litestar.Response:
    return response.Stream(
        chunks, headers=headers, media_type="text/event-stream"
    )


async def _cut_off() -> AsyncIterator[bytes]:
    yield b"ran"
    raise ConnectionAbortedError


async def _endless_event() -> AsyncIterator[bytes]:
    yield b"id: 1\ndata: "
    for _ in range(_CHUNK_COUNT):
        yield b"x" * _CHUNK_BYTES


async def _many_events() -> AsyncIterator[bytes]:
    data = b"x" * _CHUNK_BYTES
    for event_id in range(1, _CHUNK_COUNT + 1):
        yield b"id: %d\ndata: %s\n\n" % (event_id, data)
