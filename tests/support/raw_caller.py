"""Caller that sends and reads at its own pace over its own connection."""

import asyncio
import contextlib
import socket

import httpx
import msgspec

from tools import entry_configuration

_BUFFER_BYTES = 16_384
_HEAD_END = b"\r\n\r\n"


class RawResponse(msgspec.Struct, frozen=True):
    """A response.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body_bytes: Size of the body.
    """

    status: int
    headers: httpx.Headers
    body_bytes: int


class RawCaller:
    """One connection of a caller; what it receives is read when asked for."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address):
        """Yields a caller that is connected to an address."""
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=_BUFFER_BYTES
        )
        try:
            yield cls(reader, writer)
        finally:
            writer.transport.abort()

    def send(self, request_id, path, body, size_bytes=None):
        """Sends a request, or its head and the beginning of its body.

        Args:
            request_id: Id of the request.
            path: Path, which selects the route.
            body: Body, or its beginning.
            size_bytes: Size of the whole body, if it is not that of `body`.
        """
        fields = entry_configuration.headers(request_id)
        fields["Content-Length"] = str(size_bytes or len(body))
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self._writer.write("\r\n".join(lines).encode() + _HEAD_END)
        self._writer.write(body)

    def send_more(self, part):
        """Sends a further part of a body."""
        self._writer.write(part)

    async def read_head(self):
        """Reads the head of the response.

        Raises:
            OSError: If the connection breaks before.
            asyncio.IncompleteReadError: If the connection ends before.
        """
        head = await self._reader.readuntil(_HEAD_END)
        status_line, *lines = head.decode().rstrip().split("\r\n")
        headers = httpx.Headers([line.split(": ", 1) for line in lines])
        return int(status_line.split()[1]), headers

    async def read_response(self):
        """Reads a response that states its length.

        Raises:
            OSError: If the connection breaks before.
            asyncio.IncompleteReadError: If the connection ends before.
        """
        status, headers = await self.read_head()
        size_bytes = int(headers.get("content-length", 0))
        body = await self._reader.readexactly(size_bytes)
        return RawResponse(status, headers, len(body))
