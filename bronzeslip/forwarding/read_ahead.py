"""Reads a response ahead of a caller that reads slowly."""

import asyncio
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Self

from bronzeslip.memory import reservation

# Some thousands of events of usual size, more than nearly all generations have.
LIMIT_BYTES = 256 * 1024
# Largest chunk that one read from an endpoint's connection returns.
_CHUNK_BYTES = 64 * 1024


class ReadAhead:
    """Buffers the bytes of one response while its caller does not read.

    An engine whose response is not read waits, and some abort it. The buffer is
    limited and draws on the memory of responses; while there is none to spare,
    bytes are read only when the caller is ready for them.
    """

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        memory: reservation.Reservation,
        limit_bytes: int = LIMIT_BYTES,
    ) -> None:
        """Creates an empty buffer.

        Args:
            chunks: Chunks of the response.
            memory: Empty reservation, which nothing else uses.
            limit_bytes: Maximum number of buffered bytes.
        """
        self._source = chunks
        self._memory = memory
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._has_room = asyncio.Event()
        self._has_news = asyncio.Event()
        self._is_awaited = False
        self._reader: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts to read."""
        self._reader = asyncio.create_task(self._read(), name="read ahead")
        self._reader.add_done_callback(lambda _: self._has_news.set())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops to read and frees the buffer."""
        self._reader.cancel()
        try:
            # An error that chunks() has not raised no longer matters, since
            # the response to the caller has ended.
            await asyncio.gather(self._reader, return_exceptions=True)
        finally:
            self._buffer.clear()
            self._memory.release()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the bytes of the response in order.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the response is
                incomplete, after all bytes that arrived.
        """
        while True:
            if self._buffer:
                chunk = bytes(self._buffer[:_CHUNK_BYTES])
                del self._buffer[:_CHUNK_BYTES]
                self._has_room.set()
                yield chunk
            elif self._reader.done():
                self._reader.result()
                return
            else:
                await self._wait_for_news()

    async def _wait_for_news(self) -> None:
        # The bytes that arrive next are passed on at once.
        self._memory.release()
        self._is_awaited = True
        self._has_room.set()
        self._has_news.clear()
        await self._has_news.wait()
        self._is_awaited = False

    async def _read(self) -> None:
        async for chunk in self._source:
            self._buffer += chunk
            self._has_news.set()
            while not self._may_read():
                self._has_room.clear()
                await self._has_room.wait()

    def _may_read(self) -> bool:
        """Returns whether another chunk may be read; reserves its memory."""
        if self._is_awaited and not self._buffer:
            return True
        needed_bytes = len(self._buffer) + _CHUNK_BYTES
        if needed_bytes > self._limit_bytes or self._memory.is_pool_short:
            self._memory.shrink(len(self._buffer))
            return False
        return self._memory.try_resize(needed_bytes)
