"""A TCP proxy that can stall or drop traffic."""

import asyncio
import contextlib
import threading

_CHUNK_BYTES = 65_536


class TcpProxy:
    """Forwards connections to one port, and can stall or drop their traffic.

    The proxy runs an event loop in its own thread.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._forwarding_enabled = asyncio.Event()
        self._target_port = 0
        self._connections: set[_Connection] = set()
        self._server = self._call(self._listen())

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    def set_target(self, port: int) -> None:
        """Sets the port that new connections are forwarded to."""
        self._target_port = port

    def stall(self) -> None:
        """Holds back all traffic until resume is called."""
        self._loop.call_soon_threadsafe(self._forwarding_enabled.clear)

    def resume(self) -> None:
        """Lets traffic flow again, including what was held back."""
        self._loop.call_soon_threadsafe(self._forwarding_enabled.set)

    def blackhole_open_connections(self) -> None:
        """Drops all further traffic of the connections that are open now.

        The end of such a connection is not forwarded either.
        """
        self._call(self._blackhole_connections())

    def close(self) -> None:
        """Closes the proxy and ends its thread."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: object) -> object:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _listen(self) -> asyncio.Server:
        self._forwarding_enabled.set()
        return await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self._forwarding_enabled)
        self._connections.add(connection)
        try:
            await connection.run(reader, writer, self._target_port)
        finally:
            self._connections.discard(connection)

    async def _blackhole_connections(self) -> None:
        for connection in self._connections:
            connection.is_blackholed = True

    async def _close(self) -> None:
        self._server.close()
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)


class _Connection:
    """One forwarded connection."""

    def __init__(self, forwarding_enabled: asyncio.Event) -> None:
        self.is_blackholed = False
        self._forwarding_enabled = forwarding_enabled

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, upstream[1]),
            self._forward(upstream[0], writer),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._forwarding_enabled.wait()
                if not self.is_blackholed:
                    writer.write(data)
                    await writer.drain()
        if not self.is_blackholed:
            writer.close()
