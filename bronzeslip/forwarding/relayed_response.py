"""Responses that are too large to be buffered before they are forwarded."""

from collections.abc import AsyncIterator

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import response_writer
from bronzeslip.memory import reservation

# What is read ahead of the caller: a chunk, and what the connections to the
# endpoint and to the caller buffer.
_READ_AHEAD_BYTES = 256 * 1024


class RelayedResponse:
    """A response whose beginning has been read.

    It can't be sent by another endpoint any more once it is forwarded.

    Attributes:
        head: Status and headers.
    """

    def __init__(
        self,
        response: endpoint_client.EndpointResponse,
        beginning: bytes,
        chunks: AsyncIterator[bytes],
    ) -> None:
        """Creates a response of which nothing has been forwarded.

        Args:
            response: The response, which must be closed in the end.
            beginning: What has been read of its body.
            chunks: The rest of its body.
        """
        self.head = response.head
        self._response = response
        self._beginning = beginning
        self._chunks = chunks

    async def send_to_caller(
        self, writer: response_writer.ResponseWriter
    ) -> None:
        """Sends head and body, but not the end of the body.

        The endpoint is not read on while the caller does not read.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the body is truncated.
        """
        await writer.start(self.head)
        sent_bytes = len(self._beginning)
        await response_writer.write_slices(self._beginning, writer)
        self._beginning = b""
        writer.memory.shrink(_READ_AHEAD_BYTES)
        async for chunk in self._chunks:
            sent_bytes += len(chunk)
            await writer.write(chunk)
        if self._stated_bytes not in (None, sent_bytes):
            raise endpoint_errors.EndpointResponseLostError(
                f"response of {sent_bytes} bytes instead of "
                f"{self._stated_bytes}"
            )

    async def close(self) -> None:
        """Releases the connection of the endpoint."""
        await self._response.close()

    @property
    def _stated_bytes(self) -> int | None:
        if self.head.framing is body_framing.BodyFraming.LENGTH:
            return self.head.content_length
        return None


async def read(
    response: endpoint_client.EndpointResponse,
    max_bytes: int,
    memory: reservation.Reservation,
) -> buffered_response.BufferedResponse | RelayedResponse:
    """Reads a response as a whole, or the beginning of a large one.

    Args:
        response: The response; closed unless it is returned as a large one.
        max_bytes: Largest body that is buffered.
        memory: Memory of the response, reserved until it has been sent.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the body is truncated.
    """
    chunks = response.chunks()
    is_large = False
    try:
        body = await buffered_response.read_up_to(
            response.head, chunks, max_bytes, memory
        )
        is_large = len(body) > max_bytes
    finally:
        if not is_large:
            await response.close()
    if is_large:
        return RelayedResponse(response, body, chunks)
    memory.force(len(body))
    return buffered_response.BufferedResponse(response.head, body)
