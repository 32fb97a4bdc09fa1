"""Reads the bodies of requests within the memory budget."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from bronzeslip.forwarding import errors
from bronzeslip.http import partial_body
from bronzeslip.memory import budget
from bronzeslip.memory import errors as memory_errors
from bronzeslip.memory import reservation
from bronzeslip.platform import headers
from bronzeslip.routes import current
from bronzeslip.routes import limits

AsgiReceive = Callable[[], Awaitable[dict[str, Any]]]

# Used until the first configuration is received.
_DEFAULT_LIMITS = limits.CallerLimits()
# Memory of a request in progress beside its body.
_REQUEST_BYTES = 24 * 1024
# Bodies of up to this size never wait: many of them fit where a large one
# does not.
_SMALL_BODY_BYTES = 16 * 1024
# Callers give up requests that are not read for a second.
_MAX_WAIT_S = 0.25
_RETRY_AFTER_S = 0.5
# While memory is short, a body must arrive at this rate at least.
_PROGRESS_BYTES = 64 * 1024
_PROGRESS_TIME_S = 1.0


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class BodyReader:
    """Reserves the memory of a request before its body is read on.

    A body of known length is reserved as a whole, so that one whose reading
    has begun can be read to its end. Other bodies grow while there is plenty of
    room; they would otherwise keep all of it for as long as their callers like.
    """

    def __init__(
        self, memory: budget.MemoryBudget, current_table: current.CurrentTable
    ) -> None:
        """Initializes the reader.

        Args:
            memory: Budget whose pool for requests is drawn on.
            current_table: Configuration with the maximum size of a body.
        """
        self._pool = memory.requests
        self._current_table = current_table

    async def read(
        self,
        scope: dict[str, Any],
        receive: AsgiReceive,
        held: reservation.Reservation,
    ) -> bytes:
        """Reads a body.

        Args:
            scope: ASGI scope of the request.
            receive: Returns the next part of the body.
            held: Memory of the request, reserved until its response was sent.

        Raises:
            CallerDisconnectedError: If the caller has gone.
            errors.BodyTooLargeError: If the body exceeds the configured size.
            errors.MemoryShortError: If there is no room for it.
        """
        length_bytes = _stated_length(scope["headers"])
        max_bytes = self._max_bytes
        _raise_if_too_large(length_bytes or 0, max_bytes)
        try:
            await self._reserve(length_bytes or 0, held)
            return await self._read_body(receive, held, length_bytes)
        except memory_errors.MemoryShortError as error:
            raise errors.MemoryShortError(
                error.message, retry_after_s=_RETRY_AFTER_S
            ) from error

    async def _reserve(
        self, length_bytes: int, held: reservation.Reservation
    ) -> None:
        size_bytes = _REQUEST_BYTES + length_bytes
        if length_bytes > _SMALL_BODY_BYTES:
            await held.grow(size_bytes, _MAX_WAIT_S)
        elif not held.try_resize(size_bytes, is_small=True):
            self._pool.refuse(size_bytes)

    async def _read_body(
        self,
        receive: AsgiReceive,
        held: reservation.Reservation,
        length_bytes: int | None,
    ) -> bytes:
        max_bytes = self._max_bytes
        body = partial_body.PartialBody(length_bytes)
        has_more = True
        due_s = asyncio.get_running_loop().time() + _PROGRESS_TIME_S
        due_bytes = _PROGRESS_BYTES
        while has_more:
            try:
                async with asyncio.timeout_at(due_s):
                    chunk, has_more = await _next_chunk(receive)
            except TimeoutError:
                self._refuse_if_short(held)
                due_s += _PROGRESS_TIME_S
                continue
            body.add(chunk)
            _raise_if_too_large(body.size_bytes, max_bytes)
            needed_bytes = _REQUEST_BYTES + body.size_bytes
            if needed_bytes > held.size_bytes:
                self._grow(held, needed_bytes)
            if body.size_bytes >= due_bytes:
                due_s = asyncio.get_running_loop().time() + _PROGRESS_TIME_S
                due_bytes = body.size_bytes + _PROGRESS_BYTES
        return body.join()

    def _grow(self, held: reservation.Reservation, size_bytes: int) -> None:
        """Grows a body of unknown length, unless memory is short."""
        is_small = size_bytes <= _REQUEST_BYTES + _SMALL_BODY_BYTES
        may_grow = is_small or not self._pool.is_short
        if not may_grow or not held.try_resize(size_bytes, is_small):
            self._pool.refuse(size_bytes)

    def _refuse_if_short(self, held: reservation.Reservation) -> None:
        """Refuses a caller that has nearly stopped sending if others wait."""
        if self._pool.is_short:
            self._pool.refuse(held.size_bytes)

    @property
    def _max_bytes(self) -> int:
        table = self._current_table.table
        caller_limits = _DEFAULT_LIMITS if table is None else table.limits
        return caller_limits.max_body_bytes


def _stated_length(header_fields: list[tuple[bytes, bytes]]) -> int | None:
    """Returns the length of a body, or None if it is chunked."""
    for name, value in header_fields:
        if name == headers.CONTENT_LENGTH and value.isdigit():
            return int(value)
        if name == headers.TRANSFER_ENCODING:
            return None
    return 0


def _raise_if_too_large(size_bytes: int, max_bytes: int) -> None:
    if size_bytes > max_bytes:
        raise errors.BodyTooLargeError(
            f"the request body is larger than {max_bytes} bytes"
        )


async def _next_chunk(receive: AsgiReceive) -> tuple[bytes, bool]:
    """Returns a chunk and whether more follow."""
    message = await receive()
    if message["type"] == "http.disconnect":
        raise CallerDisconnectedError
    return message.get("body", b""), message.get("more_body", False)
