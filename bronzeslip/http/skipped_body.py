"""Reading of the body of a response that is not used."""

import h11
import httpcore

from bronzeslip.http import response_boundary


async def skip(
    connection: httpcore.AsyncHTTP11Connection, timeout_s: float | None
) -> None:
    """Reads the rest of a response whose head has been received.

    A body that was cut off takes in the response after it, which may end
    exactly where the body should have ended.

    Args:
        connection: Connection that the response is received on.
        timeout_s: Time to wait for more bytes, in seconds, or None.

    Raises:
        httpcore.RemoteProtocolError: If the bytes are no valid body, or contain
            the status line of another response.
    """
    state = connection._h11_state
    # Bytes of the response, from where a status line may begin.
    received, _ = state.trailing_data
    while not _has_ended(state):
        _check_boundary(received)
        data = await connection._network_stream.read(
            connection.READ_NUM_BYTES, timeout_s
        )
        received = received[1 - response_boundary.STATUS_LINE_BYTES :] + data
        state.receive_data(data)
    unread, _ = state.trailing_data
    _check_boundary(received[: len(received) - len(unread)])


def _has_ended(state: h11.Connection) -> bool:
    """Parses the bytes received; returns whether the response is complete."""
    while True:
        try:
            event = state.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        if event is h11.NEED_DATA:
            return False
        if isinstance(event, h11.EndOfMessage) or event is h11.PAUSED:
            return True


def _check_boundary(received: bytes) -> None:
    if response_boundary.contains_status_line(received):
        raise httpcore.RemoteProtocolError(
            "the body contains the status line of another response"
        )
