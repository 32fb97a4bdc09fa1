"""HTTP response to a caller, sent over ASGI."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import errors
from bronzeslip.memory import reservation
from bronzeslip.platform import headers

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]

NO_BODY_STATUSES = frozenset({204, 304})


class _ErrorBody(msgspec.Struct):
    error: str


@functools.singledispatch
def http_status(error: errors.ForwardingError) -> int:
    """Returns the HTTP status code for an error."""
    raise TypeError(f"no HTTP status for {type(error).__name__}")


@http_status.register
def _(error: errors.BadRequestError) -> int:
    return 400


@http_status.register
def _(error: errors.UnknownKeyError) -> int:
    return 401


@http_status.register
def _(error: errors.UnknownRouteError) -> int:
    return 404


@http_status.register
def _(error: errors.BodyTooLargeError) -> int:
    return 413


@http_status.register
def _(error: errors.NotRunError) -> int:
    return 503


@http_status.register
def _(error: errors.OverloadedError) -> int:
    return 429


@http_status.register
def _(error: errors.OutcomeUnknownError) -> int:
    return 502


@http_status.register
def _(error: errors.DeadlineExceededError) -> int:
    return 504


class CallerResponse:
    """Sends one response over ASGI.

    Attributes:
        is_started: Whether status and headers have been sent.
        endpoint_head: Head of an endpoint's response, once it has been sent.
        memory: Memory of what is held for the response.
    """

    def __init__(
        self, send: AsgiSend, method: str, memory: reservation.Reservation
    ) -> None:
        """Creates a response.

        Args:
            send: Sends ASGI messages.
            method: Method of the request.
            memory: Memory of what is held for the response.
        """
        self.memory = memory
        self._send = send
        self._method = method
        self.is_started = False
        self.endpoint_head: endpoint_client.ResponseHead | None = None

    async def start(self, head: endpoint_client.ResponseHead) -> None:
        """Sends status and headers."""
        self.is_started = True
        self.endpoint_head = head
        header_fields = [(field.name, field.value) for field in head.headers]
        if self._sends_content_length(head):
            length = str(head.content_length).encode()
            header_fields.append((headers.CONTENT_LENGTH, length))
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": header_fields,
            }
        )

    async def write(self, body: bytes) -> None:
        """Sends a chunk of the body; blocks while the caller does not read."""
        await self._send_body(body, more_body=True)

    async def finish(self) -> None:
        """Ends the body."""
        await self._send_body(b"", more_body=False)

    async def fail(self, error: errors.ForwardingError) -> None:
        """Sends an error response.

        If the response has already started, it is left incomplete instead, so
        that the server closes the connection.
        """
        if self.is_started:
            return
        body = msgspec.json.encode(_ErrorBody(error.code))
        header_fields = [
            (b"content-type", b"application/json"),
            (headers.CONTENT_LENGTH, str(len(body)).encode()),
        ]
        if error.retry_after_s is not None:
            delay = f"{error.retry_after_s:.2f}".encode()
            header_fields.append((headers.RETRY_AFTER, delay))
        self.is_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": http_status(error),
                "headers": header_fields,
            }
        )
        await self._send_body(body, more_body=False)

    def _sends_content_length(self, head: endpoint_client.ResponseHead) -> bool:
        if head.content_length is None or self._method == "HEAD":
            return False
        return head.status not in NO_BODY_STATUSES

    async def _send_body(self, body: bytes, more_body: bool) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": more_body,
            }
        )
