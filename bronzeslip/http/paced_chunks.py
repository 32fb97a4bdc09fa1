"""Reading of bodies whose chunks are all there at once."""

import asyncio
from collections.abc import AsyncIterator

# Chunks after which other tasks get a turn; these take about a millisecond.
_CHUNKS_PER_TURN = 64


async def paced(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields chunks, with regular turns for the other tasks.

    One read from a connection may bring thousands of chunks of a body. The
    HTTP client then returns them without waiting, so no timeout expires and no
    other request is served until the last of them has been processed.
    """
    count = 0
    async for chunk in chunks:
        yield chunk
        count += 1
        if count % _CHUNKS_PER_TURN == 0:
            await asyncio.sleep(0)
