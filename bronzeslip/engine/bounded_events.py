"""Bytes of a stream whose events are bounded in size."""

from collections.abc import AsyncIterator

import httpx

from bronzeslip.http import paced_chunks


class BoundedEvents(httpx.AsyncByteStream):
    """Passes on the bytes of a stream until one event becomes too large.

    The decoder of events keeps what it has of one, and passes over comments
    without end.
    """

    def __init__(
        self, stream: httpx.AsyncByteStream, max_event_bytes: int
    ) -> None:
        """Wraps a stream.

        Args:
            stream: Stream of the response.
            max_event_bytes: Maximum number of bytes until the next event is
                decoded.
        """
        self._stream = stream
        self._max_event_bytes = max_event_bytes
        self._size_bytes = 0

    def record_event(self) -> None:
        """Records that an event was decoded."""
        self._size_bytes = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the bytes.

        Raises:
            httpx.RemoteProtocolError: If there is no event in too many bytes.
        """
        async for chunk in paced_chunks.paced(self._stream):
            self._size_bytes += len(chunk)
            if self._size_bytes > self._max_event_bytes:
                raise httpx.RemoteProtocolError(
                    f"event of more than {self._max_event_bytes} bytes"
                )
            yield chunk

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()
