"""Request bodies that are handed to the connection in slices."""

from collections.abc import AsyncIterator

import httpx

SLICE_BYTES = 64 * 1024


class SlicedBody(httpx.AsyncByteStream):
    """Yields a body in slices.

    A connection buffers what it can't send at once. Handed over as a whole, a
    body would be held twice until the peer has read it.
    """

    def __init__(self, body: bytes) -> None:
        self._body = memoryview(body)

    async def __aiter__(self) -> AsyncIterator[memoryview]:
        """Yields the slices; may be called again."""
        for start in range(0, len(self._body), SLICE_BYTES):
            yield self._body[start : start + SLICE_BYTES]
