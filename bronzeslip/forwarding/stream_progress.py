"""Events that the caller of a generation has received."""

from bronzeslip.decoding import numbers
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import event_framer
from bronzeslip.forwarding import stream_times

# Events beside those that carry output tokens.
_MAX_OTHER_EVENTS = 16
# Engines write an event at once; even one that writes its bytes one by one
# needs fewer chunks.
_MAX_PIECES_OF_EVENT = 4096


class StreamProgress:
    """Splits the bytes of engines into events and counts these.

    Attributes:
        events: Number of complete events.
        last_event_id: Id of the last event that has one, or None.
        times: Times of the events.
    """

    def __init__(
        self, request: admitted.AdmittedRequest, event_max_bytes: int
    ) -> None:
        """Creates the progress of a run without events.

        Args:
            request: Request of the run.
            event_max_bytes: Limit on the size of an event.
        """
        shape = request.request.shape
        self._max_events = (
            shape.max_output_tokens + _MAX_OTHER_EVENTS if shape else None
        )
        self._event_max_bytes = event_max_bytes
        self._framer = event_framer.EventFramer()
        self._has_event_of_engine = False
        self.events = 0
        self.last_event_id: str | None = None
        self.times = stream_times.StreamTimes(request.request.arrived_s)

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._framer.remainder

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return self._framer.remainder_bytes

    @property
    def may_be_resumed(self) -> bool:
        """Whether another engine can be told after which event to go on."""
        return not self.events or self.last_event_id is not None

    def feed(self, chunk: bytes) -> event_framer.EventBlock | None:
        """Adds bytes and returns the events completed by them, or None.

        Raises:
            endpoint_errors.EndpointResponseLostError: If an event does not
                end, there are more events than output tokens, or the first
                events of an engine do not follow those of the one before.
        """
        block = self._framer.feed(chunk)
        if self._framer.remainder_bytes > self._event_max_bytes:
            raise endpoint_errors.EndpointResponseLostError(
                f"event of more than {self._event_max_bytes} bytes"
            )
        if self._framer.pieces > _MAX_PIECES_OF_EVENT:
            raise endpoint_errors.EndpointResponseLostError(
                f"event of more than {_MAX_PIECES_OF_EVENT} pieces"
            )
        if block is not None and self._max_events is not None:
            self._raise_if_too_many(self.events + block.count)
        if block is not None and not self._has_event_of_engine:
            self._raise_if_not_next(block)
        return block

    def record(self, block: event_framer.EventBlock) -> None:
        """Counts events that were sent to the caller."""
        self.times.record_event(self.events)
        self.events += block.count
        self._has_event_of_engine = True
        self.last_event_id = block.last_event_id or self.last_event_id

    def restart(self) -> None:
        """Discards an incomplete event, which the next engine sends again."""
        self._framer = event_framer.EventFramer()
        self._has_event_of_engine = False
        self.times.restart()

    def raise_if_unfinished(self, framing: body_framing.BodyFraming) -> None:
        """Raises an error if the response of an engine ended too early.

        Args:
            framing: How the end of the response is marked.

        Raises:
            endpoint_errors.EndpointResponseLostError: If it ended inside an
                event, or with its connection before any event.
        """
        if self._framer.is_inside_event:
            raise endpoint_errors.EndpointResponseLostError(
                "the response ended inside an event"
            )
        ends_with_connection = (
            framing is body_framing.BodyFraming.CONNECTION_END
        )
        if ends_with_connection and not self._has_event_of_engine:
            raise endpoint_errors.EndpointResponseLostError(
                "the connection ended before any event"
            )

    def _raise_if_too_many(self, events: int) -> None:
        if events > self._max_events:
            raise endpoint_errors.EndpointResponseLostError(
                f"more than {self._max_events} events"
            )

    def _raise_if_not_next(self, block: event_framer.EventBlock) -> None:
        first_id = block.first_event_id
        if self.last_event_id is None or first_id is None:
            return
        last_number = numbers.parse_count(self.last_event_id)
        first_number = numbers.parse_count(first_id)
        is_earlier = (
            last_number is not None
            and first_number is not None
            and first_number <= last_number
        )
        if is_earlier or first_id == self.last_event_id:
            raise endpoint_errors.EndpointResponseLostError(
                f"event {first_id!r} does not follow {self.last_event_id!r}"
            )
