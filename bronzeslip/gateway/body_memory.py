"""Memory that request bodies take, as they are read and decoded."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from bronzeslip.gateway import errors
from bronzeslip.http import partial_body
from bronzeslip.memory import errors as memory_errors
from bronzeslip.memory import reservation

# Memory of a request in progress beside its body.
_REQUEST_BYTES = 24 * 1024
# Bodies of up to this size never wait: many of them fit where a large one does
# not.
_SMALL_BODY_BYTES = 16 * 1024
# Clients give up requests that are not read for a second.
_MAX_WAIT_S = 0.25
_RETRY_AFTER_S = 0.5
# While memory is short, a body must arrive at this rate at least.
_PROGRESS_TIME_S = 1.0
_PROGRESS_BYTES = 64 * 1024
# Memory of a decoded value beside its text, and what delimits values. Those in
# strings are counted too, so that the cost is an upper bound.
_VALUE_BYTES = 64
_DELIMITERS = (b",", b"[", b"{")
# Decoded text is a copy of the body.
_DECODED_COPIES = 1


class BodyMemory:
    """Reserves memory for the body of one request."""

    def __init__(self, held: reservation.Reservation) -> None:
        """Reserves nothing yet.

        Args:
            held: Reservation that ends with the response.
        """
        self._held = held

    async def reserve(self, size_bytes: int) -> None:
        """Reserves memory for a body that has not been read.

        Raises:
            errors.UnavailableError: If there is no room.
        """
        needed_bytes = _REQUEST_BYTES + size_bytes
        if size_bytes <= _SMALL_BODY_BYTES:
            if not self._held.try_resize(needed_bytes, is_small=True):
                raise _unavailable()
            return
        await self._grow(needed_bytes)

    async def read(
        self,
        reading: Coroutine[Any, Any, bytes],
        received: partial_body.PartialBody,
    ) -> bytes:
        """Reads a body; while memory is short, slow ones are refused.

        Args:
            reading: Reads the body.
            received: What it has read so far.

        Raises:
            errors.UnavailableError: If the body was given up.
        """
        task = asyncio.create_task(reading)
        try:
            while not task.done():
                due_bytes = received.size_bytes + _PROGRESS_BYTES
                await asyncio.wait((task,), timeout=_PROGRESS_TIME_S)
                is_slow = not task.done() and received.size_bytes < due_bytes
                if is_slow and self._held.is_pool_short:
                    raise _unavailable()
            return task.result()
        finally:
            task.cancel()

    async def reserve_decoded(self, data: bytes) -> None:
        """Reserves what a body may take when it is decoded.

        Raises:
            errors.TooLargeError: If that never fits.
            errors.UnavailableError: If there is no room.
        """
        values = data.count(b'"') // 2
        values += sum(data.count(delimiter) for delimiter in _DELIMITERS)
        needed_bytes = _REQUEST_BYTES + (1 + _DECODED_COPIES) * len(data)
        needed_bytes += values * _VALUE_BYTES
        if len(data) <= _SMALL_BODY_BYTES:
            # Decoding ends before anything else runs.
            return
        if needed_bytes > self._held.max_bytes:
            raise errors.TooLargeError("the JSON has too many values")
        await self._grow(needed_bytes)

    def end_decoding(self, size_bytes: int) -> None:
        """Gives back what only decoding took."""
        copies = 1 + _DECODED_COPIES
        self._held.shrink(_REQUEST_BYTES + copies * size_bytes)

    async def _grow(self, needed_bytes: int) -> None:
        try:
            await self._held.grow(needed_bytes, _MAX_WAIT_S)
        except memory_errors.MemoryShortError as error:
            raise _unavailable() from error


def _unavailable() -> errors.UnavailableError:
    return errors.UnavailableError(
        "the process has no memory for the request; it has not run",
        retry_after_s=_RETRY_AFTER_S,
    )
