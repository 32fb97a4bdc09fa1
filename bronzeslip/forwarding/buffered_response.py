"""Responses that are read completely before they are forwarded."""

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import response_writer


class BufferedResponse(msgspec.Struct, frozen=True):
    """Head and complete body of a response."""

    head: endpoint_client.ResponseHead
    body: bytes


async def read(
    response: endpoint_client.EndpointResponse, max_bytes: int
) -> BufferedResponse:
    """Reads a response to its end and releases its connection.

    Args:
        response: The response.
        max_bytes: Limit on the size of its body.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the body is truncated or
            too large.
    """
    try:
        body = await response.read(max_bytes)
    finally:
        await response.close()
    return BufferedResponse(response.head, body)


async def send_to_caller(
    response: BufferedResponse, writer: response_writer.ResponseWriter
) -> None:
    """Sends a response with the length of its body as content length."""
    head = msgspec.structs.replace(
        response.head, content_length=len(response.body)
    )
    await writer.start(head)
    if response.body:
        await writer.write(response.body)
    await writer.finish()
