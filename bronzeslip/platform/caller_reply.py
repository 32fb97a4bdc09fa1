"""Answer to a caller of the platform."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import errors
from bronzeslip.platform import headers

Send = Callable[[dict[str, Any]], Awaitable[None]]

_NO_BODY_STATUSES = frozenset({204, 304})


class _Failure(msgspec.Struct):
    error: str


@functools.singledispatch
def status_of(error: errors.ForwardingError) -> int:
    """Returns the status that tells a caller of an error."""
    raise TypeError(f"{type(error).__name__} has no status")


@status_of.register
def _(error: errors.BadRequestError) -> int:
    return 400


@status_of.register
def _(error: errors.UnknownKeyError) -> int:
    return 401


@status_of.register
def _(error: errors.UnknownRouteError) -> int:
    return 404


@status_of.register
def _(error: errors.BodyTooLargeError) -> int:
    return 413


@status_of.register
def _(error: errors.NotRunError) -> int:
    return 503


@status_of.register
def _(error: errors.OverloadedError) -> int:
    return 429


@status_of.register
def _(error: errors.OutcomeUnknownError) -> int:
    return 502


@status_of.register
def _(error: errors.DeadlineExceededError) -> int:
    return 504


class CallerReply:
    """Sends an answer over ASGI.

    Attributes:
        is_started: Whether the head has been sent.
    """

    def __init__(self, send: Send, method: str) -> None:
        """Creates the reply to a request of a method."""
        self._send = send
        self._method = method
        self.is_started = False

    async def start(self, head: endpoint_client.ResponseHead) -> None:
        """Sends status and headers."""
        self.is_started = True
        fields = [(found.name, found.value) for found in head.headers]
        if self._states_length(head):
            length = str(head.content_length).encode()
            fields.append((headers.CONTENT_LENGTH, length))
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": fields,
            }
        )

    async def write(self, body: bytes) -> None:
        """Sends a part of the body; waits while the caller does not read."""
        await self._send_body(body, more_body=True)

    async def finish(self) -> None:
        """Ends the body."""
        await self._send_body(b"", more_body=False)

    async def fail(self, error: errors.ForwardingError) -> None:
        """Tells the caller of an error.

        An answer that has begun is left without its end, upon which the
        server closes the connection.
        """
        if self.is_started:
            return
        body = msgspec.json.encode(_Failure(error.code))
        fields = [
            (b"content-type", b"application/json"),
            (headers.CONTENT_LENGTH, str(len(body)).encode()),
        ]
        if error.retry_after_s is not None:
            after = f"{error.retry_after_s:.2f}".encode()
            fields.append((headers.RETRY_AFTER, after))
        self.is_started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status_of(error),
                "headers": fields,
            }
        )
        await self._send_body(body, more_body=False)

    def _states_length(self, head: endpoint_client.ResponseHead) -> bool:
        if head.content_length is None or self._method == "HEAD":
            return False
        return head.status not in _NO_BODY_STATUSES

    async def _send_body(self, body: bytes, more_body: bool) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": more_body,
            }
        )
