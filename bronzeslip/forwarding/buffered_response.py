"""Responses that are read completely before they are forwarded."""

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import response_writer


class BufferedResponse(msgspec.Struct, frozen=True):
    """Head and complete body of a response."""

    head: endpoint_client.ResponseHead
    body: bytes


async def read(response: endpoint_client.EndpointResponse) -> BufferedResponse:
    """Reads a response to its end and releases its connection.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the body is truncated.
    """
    try:
        body = b"".join([chunk async for chunk in response.chunks()])
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
