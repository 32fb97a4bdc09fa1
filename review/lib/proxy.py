"""A TCP proxy that can lose track of connections, as a firewall does."""

import asyncio
import pathlib
import time

_CHUNK_BYTES = 65536
# Value of the timer field in /proc/net/tcp while keep-alive probes are on.
_KEEPALIVE_TIMER = "02"


class _Flow:
    """One forwarded connection.

    Attributes:
        used_s: When it last carried a byte, on the steady clock.
        is_silent: Whether it carries nothing any more, not even its end.
    """

    def __init__(self, peer_port: int) -> None:
        self.peer_port = peer_port
        self.used_s = time.monotonic()
        self.is_silent = False
        self.sent = b""


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._flows: dict[_Flow, list[asyncio.StreamWriter]] = {}
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def stop(self) -> None:
        """Stops to listen and resets all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def lose_idle(self, idle_s: float) -> list[str]:
        """Silences the open connections that have been idle for some time.

        A connection whose end towards the gateway has keep-alive probes on is
        reset instead, since its probes would show the silence and this proxy
        does not pass them on.

        Returns:
            For each such connection the last request that it carried.
        """
        lost = []
        for flow, writers in list(self._flows.items()):
            if time.monotonic() - flow.used_s < idle_s or flow.is_silent:
                continue
            first_line = flow.sent.partition(b"\r\n")[0].decode("latin-1")
            if _has_keepalive(flow.peer_port):
                lost.append(f"{first_line} (has keep-alive probes: reset)")
                for writer in writers:
                    writer.transport.abort()
            else:
                lost.append(f"{first_line} (no keep-alive probes: silent)")
                flow.is_silent = True
        return lost

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        flow = _Flow(writer.get_extra_info("peername")[1])
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.close()
            return
        self._flows[flow] = [writer, upstream_writer]
        self._writers += self._flows[flow]
        try:
            await asyncio.gather(
                self._forward(flow, reader, upstream_writer, is_request=True),
                self._forward(flow, upstream_reader, writer),
            )
        finally:
            del self._flows[flow]

    async def _forward(
        self,
        flow: _Flow,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool = False,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if flow.is_silent:
                    continue
                flow.used_s = time.monotonic()
                if is_request:
                    flow.sent = data
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not flow.is_silent:
            writer.close()


def _has_keepalive(local_port: int) -> bool:
    """Returns whether the socket with a local port has keep-alive probes on."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].partition(":")[2], 16) == local_port:
            return fields[5].partition(":")[0] == _KEEPALIVE_TIMER
    return False
