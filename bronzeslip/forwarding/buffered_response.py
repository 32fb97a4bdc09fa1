"""Responses that are read completely before they are forwarded."""

from collections.abc import AsyncIterator

import msgspec

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import response_writer
from bronzeslip.memory import errors as memory_errors
from bronzeslip.memory import reservation

# Bodies of up to this size never wait for memory.
_SMALL_BODY_BYTES = 16 * 1024


class BufferedResponse(msgspec.Struct, frozen=True):
    """Head and complete body of a response."""

    head: endpoint_client.ResponseHead
    body: bytes


async def read(
    response: endpoint_client.EndpointResponse,
    max_bytes: int,
    memory: reservation.Reservation,
) -> BufferedResponse:
    """Reads a response to its end and releases its connection.

    While there is no room for its body, it is not read on.

    Args:
        response: The response.
        max_bytes: Limit on the size of its body.
        memory: Memory of the response, reserved until it has been sent.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the body is truncated or
            too large.
    """
    try:
        body = await read_up_to(
            response.head, response.chunks(), max_bytes, memory
        )
    finally:
        await response.close()
    if len(body) > max_bytes:
        raise endpoint_errors.EndpointResponseLostError(
            f"response of more than {max_bytes} bytes"
        )
    memory.force(len(body))
    return BufferedResponse(response.head, body)


async def read_up_to(
    head: endpoint_client.ResponseHead,
    chunks: AsyncIterator[bytes],
    max_bytes: int,
    memory: reservation.Reservation,
) -> bytes:
    """Reads a body to its end, or until it is larger than what is buffered.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the body is truncated.
    """
    # A response that was read before has been dropped.
    memory.release()
    try:
        return await _read_up_to(head, chunks, max_bytes, memory)
    except memory_errors.MemoryShortError as error:
        raise endpoint_errors.EndpointResponseLostError(
            f"response too large for the memory of this process: {error}"
        ) from error


async def _read_up_to(
    head: endpoint_client.ResponseHead,
    chunks: AsyncIterator[bytes],
    max_bytes: int,
    memory: reservation.Reservation,
) -> bytes:
    expected_bytes = _expected_bytes(head, max_bytes)
    await _reserve(expected_bytes, memory)
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > max_bytes:
            break
        if len(body) > expected_bytes:
            # Nothing less is known to be enough to read it to its end.
            expected_bytes = max_bytes
            await _reserve(expected_bytes, memory)
    return bytes(body)


def _expected_bytes(head: endpoint_client.ResponseHead, max_bytes: int) -> int:
    is_stated = head.framing is body_framing.BodyFraming.LENGTH
    if is_stated and head.content_length is not None:
        return min(head.content_length, max_bytes)
    return _SMALL_BODY_BYTES


async def _reserve(size_bytes: int, memory: reservation.Reservation) -> None:
    if size_bytes <= _SMALL_BODY_BYTES:
        memory.force(size_bytes)
    else:
        await memory.grow(size_bytes)


async def send_to_caller(
    response: BufferedResponse, writer: response_writer.ResponseWriter
) -> None:
    """Sends a response with the length of its body as content length."""
    head = msgspec.structs.replace(
        response.head, content_length=len(response.body)
    )
    await writer.start(head)
    await response_writer.write_slices(response.body, writer)
    await writer.finish()
