"""Queue of the frames received for one run."""

import asyncio
import collections

from bronzeslip import errors as base_errors
from bronzeslip.transport import codec
from bronzeslip.transport import errors


class Inbox:
    """Queue of frames that is closed together with its connection."""

    def __init__(self) -> None:
        self._frames: collections.deque[codec.Frame] = collections.deque()
        self._error: base_errors.BronzeslipError | None = None
        self._waiter: asyncio.Future[None] | None = None

    def put(self, frame: codec.Frame) -> None:
        """Adds a frame."""
        self._frames.append(frame)
        self._wake()

    def close(self, error: base_errors.BronzeslipError | None = None) -> None:
        """Closes the queue; remaining frames can still be read.

        Args:
            error: Error to raise once the queue is empty; by default, that
                the connection was lost.
        """
        if self._error is None:
            self._error = error or errors.ConnectionLostError(
                "the connection was lost"
            )
        self._wake()

    async def get(self) -> codec.Frame:
        """Waits for the next frame.

        Raises:
            errors.ConnectionLostError: If the connection was lost.
            base_errors.BronzeslipError: The error that the queue was closed
                with.
        """
        while not self._frames:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._frames.popleft()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
