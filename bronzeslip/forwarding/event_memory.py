"""Memory of an event that is not complete."""

from bronzeslip.forwarding import endpoint_errors
from bronzeslip.memory import errors as memory_errors
from bronzeslip.memory import reservation

# Events carry some tokens; those of up to this size never wait for memory.
_SMALL_EVENT_BYTES = 16 * 1024


class EventMemory:
    """Reserves the memory of an event that has grown large."""

    def __init__(
        self, memory: reservation.Reservation, event_max_bytes: int
    ) -> None:
        """Creates the memory of a stream.

        Args:
            memory: Memory of the response.
            event_max_bytes: Limit on the size of an event.
        """
        self._memory = memory
        self._event_max_bytes = event_max_bytes

    async def hold(self, remainder_bytes: int) -> None:
        """Waits for room before an incomplete event is read on.

        Args:
            remainder_bytes: Bytes of the event that have arrived.

        Raises:
            endpoint_errors.EndpointResponseLostError: If there can't be any.
        """
        if remainder_bytes <= _SMALL_EVENT_BYTES:
            self._memory.release()
            return
        try:
            await self._memory.grow(self._event_max_bytes)
        except memory_errors.MemoryShortError as error:
            raise endpoint_errors.EndpointResponseLostError(
                f"event too large for the memory of this process: {error}"
            ) from error
