"""A TCP link that can stall or fall silent."""

import asyncio
import contextlib
import threading

_CHUNK_BYTES = 65_536


class Link:
    """Forwards connections to one port until told otherwise.

    It runs in a thread with an event loop of its own.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._flowing = asyncio.Event()
        self._target_port = 0
        self._connections: set[_Connection] = set()
        self._server = self._call(self._listen())

    @property
    def port(self) -> int:
        """Port that the link listens on."""
        return self._server.sockets[0].getsockname()[1]

    def set_target(self, port: int) -> None:
        """Sets the port that new connections go to."""
        self._target_port = port

    def stall(self) -> None:
        """Holds all traffic back until resume is called."""
        self._loop.call_soon_threadsafe(self._flowing.clear)

    def resume(self) -> None:
        """Lets held traffic go on."""
        self._loop.call_soon_threadsafe(self._flowing.set)

    def silence_existing(self) -> None:
        """Swallows all traffic of the connections open now, for good."""
        self._call(self._silence())

    def close(self) -> None:
        """Ends the link."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, work: object) -> object:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _listen(self) -> asyncio.Server:
        self._flowing.set()
        return await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self._flowing)
        self._connections.add(connection)
        try:
            await connection.run(reader, writer, self._target_port)
        finally:
            self._connections.discard(connection)

    async def _silence(self) -> None:
        for connection in self._connections:
            connection.silent = True

    async def _close(self) -> None:
        self._server.close()
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)


class _Connection:
    """One forwarded connection."""

    def __init__(self, flowing: asyncio.Event) -> None:
        self.silent = False
        self._flowing = flowing

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        port: int,
    ) -> None:
        try:
            far = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, far[1]), self._forward(far[0], writer)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._flowing.wait()
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        if not self.silent:
            writer.close()
