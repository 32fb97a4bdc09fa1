"""Loopback server that sends scripted bytes for each request."""

import asyncio
import socket
import struct

NO_RESPONSE = object()
# A reset that follows at once may discard the response.
_RESET_DELAY_S = 0.1


class RawServer:
    """Reads requests and responds to each with the next script.

    Attributes:
        requests: Bytes of each request received.
        connection_count: Number of connections accepted.
        body_read_delay_s: Time between sending the response and reading the
            request body, in seconds. If None, the body is read before the
            response is sent.
        resets_connections: Whether connections end with a reset, 0.1 s after
            the last response.
        repeats_responses: Whether each response of a connection is sent once
            more, before the next one.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self._server = None
        self.requests = []
        self.connection_count = 0
        self.body_read_delay_s = None
        self.resets_connections = False
        self.repeats_responses = False

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    async def _respond_early(self, writer):
        writer.write(self._scripts.pop(0))
        await writer.drain()
        await asyncio.sleep(self.body_read_delay_s)

    async def _serve(self, reader, writer):
        self.connection_count += 1
        earlier = b""
        try:
            while self._scripts:
                head = await reader.readuntil(b"\r\n\r\n")
                length = _content_length(head)
                if self.body_read_delay_s is not None:
                    await self._respond_early(writer)
                self.requests.append(head + await reader.readexactly(length))
                if self.body_read_delay_s is not None:
                    continue
                script = self._scripts.pop(0)
                if script is NO_RESPONSE:
                    await reader.read()
                    break
                writer.write(earlier + script)
                await writer.drain()
                if self.repeats_responses:
                    earlier = script
                if b"connection: close" in script.lower():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.resets_connections:
                await asyncio.sleep(_RESET_DELAY_S)
                _reset_on_close(writer)
            writer.close()


def _reset_on_close(writer):
    no_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, no_linger
    )


def _content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def create_response(body, status=b"200 OK", headers=b""):
    """Returns the bytes of an HTTP response."""
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 " + status + b"\r\nContent-Length: " + length + b"\r\n"
        b"Keep-Alive: timeout=5\r\n" + headers + b"\r\n" + body
    )
