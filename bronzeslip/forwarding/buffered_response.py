"""An answer that has been read to its end."""

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import response_writer


class BufferedResponse(msgspec.Struct, frozen=True):
    """Head and whole body of an answer."""

    head: endpoint_client.ResponseHead
    body: bytes


async def read(response: endpoint_client.EndpointResponse) -> BufferedResponse:
    """Reads an answer to its end and gives its connection back.

    Raises:
        endpoint_errors.EndpointResponseLostError: If it ends early.
    """
    try:
        body = b"".join([chunk async for chunk in response.chunks()])
    finally:
        await response.close()
    return BufferedResponse(response.head, body)


async def send_to_caller(
    response: BufferedResponse, writer: response_writer.ResponseWriter
) -> None:
    """Sends an answer to the caller."""
    head = msgspec.structs.replace(
        response.head, content_length=len(response.body)
    )
    await writer.start(head)
    if response.body:
        await writer.write(response.body)
    await writer.finish()
