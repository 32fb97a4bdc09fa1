"""Interface for sending a response to a caller."""

from typing import Protocol

from bronzeslip.forwarding import endpoint_client
from bronzeslip.memory import reservation

_SLICE_BYTES = 64 * 1024


class ResponseWriter(Protocol):
    """Sends the response to one caller.

    Attributes:
        is_started: Whether the head has been sent.
        endpoint_head: Head of an endpoint's response, once it has been sent.
        memory: Memory of what is held for this response.
    """

    is_started: bool
    endpoint_head: endpoint_client.ResponseHead | None
    memory: reservation.Reservation

    async def start(self, head: endpoint_client.ResponseHead) -> None:
        """Sends status and headers."""

    async def write(self, body: bytes) -> None:
        """Sends a chunk of the body, waiting while the caller does not read."""

    async def finish(self) -> None:
        """Ends the body."""


async def write_slices(body: bytes, writer: ResponseWriter) -> None:
    """Writes bytes in slices, one of which the connection buffers."""
    for start in range(0, len(body), _SLICE_BYTES):
        await writer.write(body[start : start + _SLICE_BYTES])
