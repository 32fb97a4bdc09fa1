"""HTTP protocol that limits the size and arrival time of headers."""

import asyncio
from typing import Any

import msgspec
from uvicorn.protocols.http import httptools_impl

from bronzeslip import logs
from bronzeslip.http import connection_limits
from bronzeslip.http import connection_slots
from bronzeslip.http import lingering_close
from bronzeslip.http import problem

logger = logs.get_logger(__name__)

# Bytes read from a connection at once.
_READ_BYTES = 64 * 1024
_RETRY_AFTER_S = 0.5
_MAX_DISCARDED_BYTES = 8 * 1024 * 1024

_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

_MALFORMED = problem.create(
    "bad-request", "Bad request", 400, "the bytes are no HTTP request"
)
_HEADERS_TOO_LARGE = problem.create(
    "headers-too-large",
    "Headers too large",
    431,
    "the request line and headers are too large",
)
_HEADERS_TOO_LATE = problem.create(
    "read-timeout",
    "Request timeout",
    408,
    "the headers did not arrive in time",
)
_UPGRADE_WITH_BODY = problem.create(
    "upgrade-with-body",
    "Upgrade with a body",
    400,
    "a request that asks for another protocol can't have a body",
)
_TOO_MANY_CONNECTIONS = problem.create(
    "too-many-connections",
    "Too many connections",
    503,
    "the process has too many connections; the request has not run",
    retry_after_s=_RETRY_AFTER_S,
)


class _RequestRejectedError(Exception):
    """Stops the parser after a rejected request."""


class LimitedHttpProtocol(httptools_impl.HttpToolsProtocol):
    """Rejects requests whose headers are too large or too late."""

    def __init__(
        self,
        limits_source: connection_limits.LimitsSource,
        slots: connection_slots.ConnectionSlots,
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._get_limits = limits_source
        self._slots = slots
        self._has_slot = False
        self._is_last_request_read = False
        self._rejection = _MALFORMED
        self._in_headers = True
        self._header_bytes = 0
        self._is_body_pending = False
        self._must_pause = False
        self._discarded_bytes = 0
        self._closing: lingering_close.LingeringClose | None = None
        self._header_timer: asyncio.TimerHandle | None = None

    @property
    def timeout_keep_alive(self) -> float:
        """Time after which an idle connection is closed, in seconds."""
        return self._get_limits().idle_timeout_s

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, _: float) -> None:
        """Ignores the fixed timeout that uvicorn sets."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the header timer for the first request."""
        super().connection_made(transport)
        transport.max_size = _READ_BYTES
        self._has_slot = self._slots.open(self, self.loop.time())
        if self._slots.has_too_many_refused and not self._has_slot:
            self.transport.write(_render(_TOO_MANY_CONNECTIONS))
            self.transport.close()
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the header timer."""
        self._slots.close(self)
        self._stop_header_timer()
        if self._closing is not None:
            self._closing.stop()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses data and limits the size of incomplete headers."""
        if self._closing is not None:
            self._closing.discard(len(data))
            return
        if self._is_last_request_read:
            return
        super().data_received(data)
        if self._must_pause:
            self._pause_before_body()
        if not self._in_headers or self.transport.is_closing():
            return
        self._header_bytes += len(data)
        if self._header_bytes > self._get_limits().max_header_bytes:
            self._reject(_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Resets the header size and starts the header timer."""
        super().on_message_begin()
        self._slots.begin(self)
        self._in_headers = True
        self._header_bytes = 0
        if self._header_timer is None:
            self._start_header_timer()

    def on_headers_complete(self) -> None:
        """Rejects headers that are too large.

        Raises:
            _RequestRejectedError: If the headers are too large.
        """
        self._in_headers = False
        self._stop_header_timer()
        if self._is_last_request_read:
            return
        if not self._has_slot:
            self._rejection = _TOO_MANY_CONNECTIONS
            raise _RequestRejectedError
        size_bytes = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size_bytes > self._get_limits().max_header_bytes:
            self._rejection = _HEADERS_TOO_LARGE
            raise _RequestRejectedError
        if self.parser.should_upgrade() and self._has_body():
            # The parser would skip the body.
            self._rejection = _UPGRADE_WITH_BODY
            raise _RequestRejectedError
        # The unmodified request target, which can't be restored from the path
        # and query of the scope.
        self.scope["target"] = self.url
        super().on_headers_complete()
        self._is_body_pending = True
        self._must_pause = True
        self._discarded_bytes = 0
        if not self._get_limits().may_reuse:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Processes body data, unless the last request was read."""
        if self._is_last_request_read:
            return
        super().on_body(body)
        if self.cycle.response_complete:
            self._discard(len(body))

    def on_message_complete(self) -> None:
        """Ends a request; data after the last request is ignored."""
        if self._is_last_request_read:
            return
        self._is_body_pending = False
        super().on_message_complete()
        self._is_last_request_read = not self.cycle.keep_alive

    def on_response_complete(self) -> None:
        """Marks the connection as idle unless it carries another request."""
        super().on_response_complete()
        if self.cycle.response_complete and not self._in_headers:
            self._slots.end(self, self.loop.time())

    def evict(self) -> None:
        """Closes the connection, which is idle."""
        self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Sends the error response for a request that the parser rejects."""
        self._reject(self._rejection)

    def _has_body(self) -> bool:
        return any(
            name in _BODY_HEADERS and value != b"0"
            for name, value in self.headers
        )

    def _pause_before_body(self) -> None:
        """Leaves a body in the socket until the application asks for it."""
        self._must_pause = False
        if self._is_body_pending and not self.cycle.response_complete:
            self.flow.pause_reading()

    def _discard(self, size_bytes: int) -> None:
        """Reads the rest of a body whose request was answered before.

        A connection that is closed with unread data is reset, and its caller
        might not receive the response.
        """
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self.transport.close()

    def _reject(self, rejection: problem.Problem) -> None:
        self._stop_header_timer()
        logger.warning("http.refused", reason=rejection.code)
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(_render(rejection))
            self._closing = lingering_close.LingeringClose(
                self.transport, self.loop
            )
        else:
            self.transport.close()

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            self._get_limits().header_timeout_s, self._reject, _HEADERS_TOO_LATE
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def _render(rejection: problem.Problem) -> bytes:
    body = msgspec.json.encode(rejection)
    retry_after = ""
    if rejection.retry_after_s is not None:
        retry_after = f"retry-after: {rejection.retry_after_s:.2f}\r\n"
    head = (
        f"content-type: {problem.MEDIA_TYPE}\r\n"
        f"content-length: {len(body)}\r\n"
        f"{retry_after}"
        "connection: close\r\n\r\n"
    )
    status_line = httptools_impl.STATUS_LINE[rejection.status]
    return status_line + head.encode() + body
