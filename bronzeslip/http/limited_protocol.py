"""HTTP protocol that limits the size and arrival time of headers."""

import asyncio
import time
from typing import Any

import msgspec
from uvicorn.protocols.http import httptools_impl

from bronzeslip import logs
from bronzeslip.http import connection_limits
from bronzeslip.http import connection_slots
from bronzeslip.http import lingering_close
from bronzeslip.http import message_pieces
from bronzeslip.http import problem
from bronzeslip.http import read_flow
from bronzeslip.http import read_pacer

logger = logs.get_logger(__name__)

# Bytes read from a connection at once: in bodies of stated length, before a
# head is complete, and while a request is served, when reading only shows that
# the peer is there.
_BODY_READ_BYTES = 64 * 1024
# The application reserves bodies of stated length as a whole, but others only
# as they are read. In one turn of the event loop all connections are read.
_CHUNKED_READ_BYTES = 16 * 1024
_HEAD_READ_BYTES = 16 * 1024
_SERVING_READ_BYTES = 4 * 1024
# Bytes of further requests that are kept while one is served. With more, the
# connection is not read, so that the end of its peer is not noticed either.
_MAX_READ_AHEAD_BYTES = 4 * 1024
# Memory of a header field beside its bytes: in the parsed head, in the request
# and in what is sent to an endpoint.
_FIELD_BYTES = 320
# Copies of the bytes of a field that these hold.
_FIELD_COPIES = 2
# Smallest field on the wire, and what delimits a field: "a:" and a line end,
# ": " and a line end.
_MIN_FIELD_BYTES = 4
_FIELD_DELIMITER_BYTES = 4
_REQUEST_LINE_DELIMITER_BYTES = 32
# Framing of a chunked body beyond its data. Chunks of one byte have five bytes
# of framing.
_MAX_FRAMING_BYTES = 64 * 1024
_MAX_FRAMING_RATIO = 8
# A peer that sends less within the minimum wait of the slots counts as stopped.
_PROGRESS_BYTES = 4 * 1024
# Changes of what a connection holds that are not worth counting.
_HELD_STEP_BYTES = 1024
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
_UNKNOWN_CODING = problem.create(
    "unknown-transfer-coding",
    "Unknown transfer coding",
    501,
    "the only supported transfer coding is chunked",
)
_FRAMING_TOO_LARGE = problem.create(
    "framing-too-large",
    "Framing too large",
    400,
    "the chunked body has too much framing for its data",
)
_BODY_TOO_LARGE = problem.create(
    "body-too-large", "Body too large", 413, "the request body is too large"
)
_MEMORY_SHORT = problem.create(
    "memory-short",
    "Memory short",
    503,
    "the process has no memory for the request; it has not run",
    retry_after_s=_RETRY_AFTER_S,
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
    """Bounds what a connection holds, and when it is read.

    A request is parsed only when the response to the one before it has been
    handed to the transport and the transport has room again. What a connection
    holds is counted by the slots, which close connections when it is too much.
    """

    def __init__(
        self,
        limits_source: connection_limits.LimitsSource,
        slots: connection_slots.ConnectionSlots,
        pacer: read_pacer.ReadPacer,
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._get_limits = limits_source
        self._slots = slots
        self._pacer = pacer
        self._has_slot = False
        self._is_last_request_read = False
        self._rejection = _MALFORMED
        self._received = message_pieces.MessagePieces()
        self._is_deferred = False
        self._is_parsing = False
        self._is_pipelined = False
        self._in_headers = True
        self._header_bytes = 0
        self._field_bytes = 0
        self._is_body_pending = False
        self._is_body_awaited = False
        self._body_bytes = 0
        self._framing_bytes = 0
        # Bytes since the last data of a chunked body, such as trailers.
        self._no_data_bytes = 0
        self._stated_bytes: int | None = None
        self._discarded_bytes = 0
        self._held_bytes = 0
        self._progress_bytes = 0
        self._is_waiting = True
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
        self.flow = read_flow.ReadFlow(transport, self._on_flow_change)
        self._has_slot = self._slots.open(self, self.loop.time())
        if self._slots.has_too_many_refused and not self._has_slot:
            self.transport.write(_render(_TOO_MANY_CONNECTIONS))
            self.transport.close()
            return
        self._start_header_timer()
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the header timer and frees what the connection holds."""
        self._slots.close(self)
        self._stop_header_timer()
        self._received.clear()
        if self._closing is not None:
            self._closing.stop()
        super().connection_lost(exc)
        # The base class leaves it running after a reset; it would keep this
        # object until the idle timeout.
        self._unset_keepalive_if_required()
        # Otherwise kept until the next garbage collection, as protocol and flow
        # refer to each other.
        self._drop_head()

    def data_received(self, data: bytes) -> None:
        """Parses data as far as it may be parsed now."""
        if self._closing is not None:
            self._closing.discard(len(data))
            return
        if self._is_last_request_read:
            return
        self._received.add(data)
        self._progress_bytes += len(data)
        self._parse()

    def go_on(self) -> None:
        """Continues to parse after a pause."""
        self._is_deferred = False
        self._parse()

    def pause_writing(self) -> None:
        """Counts what is unsent and waits for the peer to read."""
        super().pause_writing()
        self._wait_for_peer()
        self._update()

    def resume_writing(self) -> None:
        """Continues with the next request if there is one."""
        super().resume_writing()
        self._parse()

    def on_message_begin(self) -> None:
        """Resets the counters and starts the header timer.

        Raises:
            _RequestRejectedError: If the request before is still being served.
        """
        if self._is_serving:
            raise _RequestRejectedError
        super().on_message_begin()
        self._in_headers = True
        self._header_bytes = 0
        self._field_bytes = 0
        if not self._is_pipelined:
            self._wait_for_peer()
        if self._header_timer is None:
            self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a field of a head; trailers are dropped.

        Raises:
            _RequestRejectedError: If there are too many.
        """
        if not self._in_headers or not self._has_slot:
            return
        super().on_header(name, value)
        self._field_bytes += _FIELD_BYTES
        self._field_bytes += _FIELD_COPIES * (len(name) + len(value))
        max_count = self._get_limits().max_header_bytes // _MIN_FIELD_BYTES
        if len(self.headers) > max_count:
            self._rejection = _HEADERS_TOO_LARGE
            raise _RequestRejectedError

    def on_headers_complete(self) -> None:
        """Rejects headers that are too large.

        Raises:
            _RequestRejectedError: If the headers are too large.
        """
        self._in_headers = False
        self._stop_header_timer()
        if self._is_last_request_read:
            return
        rejection = self._find_rejection()
        if rejection is not None:
            self._rejection = rejection
            raise _RequestRejectedError
        # The unmodified request target, which can't be restored from the path
        # and query of the scope.
        self.scope["target"] = self.url
        super().on_headers_complete()
        self._begin_body()
        if not self._get_limits().may_reuse:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Processes body data, unless the last request was read."""
        if self._is_last_request_read:
            return
        super().on_body(body)
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        self._no_data_bytes = 0
        if self.cycle.response_complete:
            self._discard(len(body))

    def on_message_complete(self) -> None:
        """Ends a request; data after the last request is ignored."""
        if self._is_last_request_read:
            return
        self._is_body_pending = False
        super().on_message_complete()
        self._is_last_request_read = not self.cycle.keep_alive
        if self.cycle.response_complete:
            self._release_request()

    def on_response_complete(self) -> None:
        """Continues with the next request, or marks the connection as idle."""
        # Parsing the next request before the keep-alive timer is started would
        # leave that running.
        self._is_parsing = True
        super().on_response_complete()
        self._is_parsing = False
        was_pipelined = self._is_pipelined
        self._is_pipelined = bool(self._received)
        # Not counted any more, and not read by anyone.
        self.cycle.body = bytearray()
        if not self._is_body_pending:
            self._release_request()
        if not (was_pipelined and self._is_pipelined):
            self._wait_for_peer()
        if not self.transport.is_closing():
            self._parse()

    def evict(self) -> None:
        """Closes the connection, which waits for its peer."""
        self._log_closed(
            "idle-connection" if self._is_idle else "stalled-connection"
        )
        self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Sends the error response for a request that the parser rejects."""
        self._reject(self._rejection)

    @property
    def _is_idle(self) -> bool:
        """Whether the connection is between two requests."""
        if self.flow.write_paused or self._is_body_pending:
            return False
        is_head_begun = self._in_headers and self._header_bytes > 0
        return not is_head_begun and not self._is_serving

    @property
    def _is_serving(self) -> bool:
        """Whether a response is not complete yet."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _is_between_requests(self) -> bool:
        """Whether a response is complete and no further request has begun."""
        if self.cycle is None or self._is_serving or self._is_body_pending:
            return False
        return not self._in_headers

    @property
    def _is_request_ahead(self) -> bool:
        """Whether the peer goes on to send requests ahead of their responses.

        The last one of a few pipelined requests is served as any other.
        """
        return self._is_pipelined and bool(self._received)

    @property
    def _may_parse(self) -> bool:
        """Whether received bytes may be parsed now."""
        if self._closing is not None or self.transport.is_closing():
            return False
        if self._is_deferred or self.flow.write_paused:
            return False
        if self._is_serving:
            return self._is_body_pending and not self.flow.read_paused
        return True

    def _parse(self) -> None:
        """Parses what has been received, for a bounded time."""
        if self._is_parsing:
            return
        self._is_parsing = True
        started_s = time.thread_time()
        used_s = 0.0
        while self._received and self._may_parse:
            self._parse_piece()
            used_s = time.thread_time() - started_s
            if used_s > read_pacer.MAX_TURN_S and not self._is_deferred:
                self._is_deferred = True
                self._pacer.defer(self, used_s)
        self._is_parsing = False
        self._update()

    def _parse_piece(self) -> None:
        remaining_bytes = 0
        if self._is_body_pending and self._stated_bytes is not None:
            remaining_bytes = self._stated_bytes - self._body_bytes
        piece = self._received.take(remaining_bytes)
        was_in_body = self._is_body_pending
        if was_in_body:
            self._framing_bytes += len(piece)
            self._no_data_bytes += len(piece)
        else:
            self._header_bytes += len(piece)
        super().data_received(piece)
        if self._closing is not None or self.transport.is_closing():
            return
        self._restart_idle_timer()
        if was_in_body:
            self._check_body()
        elif self._in_headers:
            self._check_head()

    def _restart_idle_timer(self) -> None:
        """Limits the wait for further data after a complete response.

        The base class stops the timer at any data, also if that is the rest of
        a body or an empty line and begins no request.
        """
        if self.cycle is None or self._is_serving:
            return
        if self._header_timer is None and self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _check_head(self) -> None:
        """Rejects a head that is too large before it is complete."""
        delimiters_bytes = _REQUEST_LINE_DELIMITER_BYTES
        delimiters_bytes += _FIELD_DELIMITER_BYTES * len(self.headers or ())
        size_bytes = self._header_bytes - delimiters_bytes
        if size_bytes > self._get_limits().max_header_bytes:
            self._reject(_HEADERS_TOO_LARGE)

    def _check_body(self) -> None:
        """Rejects a body that is too large, or is hardly more than framing."""
        if not self._is_body_pending:
            return
        limits = self._get_limits()
        max_bytes = limits.max_body_bytes
        if max_bytes is not None and self._body_bytes > max_bytes:
            self._reject(_BODY_TOO_LARGE)
        if self._stated_bytes is not None:
            return
        max_framing_bytes = _MAX_FRAMING_BYTES
        max_framing_bytes += _MAX_FRAMING_RATIO * self._body_bytes
        trailer_bytes = self._header_bytes + self._no_data_bytes
        max_trailer_bytes = (
            limits.max_header_bytes + message_pieces.MAX_PIECE_BYTES
        )
        if trailer_bytes > max_trailer_bytes:
            self._reject(_HEADERS_TOO_LARGE)
        elif self._framing_bytes > max_framing_bytes:
            self._reject(_FRAMING_TOO_LARGE)

    def _find_rejection(self) -> problem.Problem | None:
        """Returns why a request with a complete head is rejected, if it is."""
        if not self._has_slot:
            return _TOO_MANY_CONNECTIONS
        limits = self._get_limits()
        size_bytes = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size_bytes > limits.max_header_bytes:
            return _HEADERS_TOO_LARGE
        if self.parser.should_upgrade() and self._has_body():
            # The parser would skip the body.
            return _UPGRADE_WITH_BODY
        if self._has_unknown_coding():
            return _UNKNOWN_CODING
        stated_bytes = self._find_stated_bytes()
        if limits.max_body_bytes is not None and stated_bytes is not None:
            return (
                _BODY_TOO_LARGE
                if stated_bytes > limits.max_body_bytes
                else None
            )
        return None

    def _find_stated_bytes(self) -> int | None:
        """Returns the length of the body, or None if it is chunked."""
        stated_bytes = 0
        for name, value in self.headers:
            if name == b"transfer-encoding":
                return None
            if name == b"content-length":
                # The parser has checked it.
                stated_bytes = int(value)
        return stated_bytes

    def _begin_body(self) -> None:
        """Leaves a body unread until the application asks for it."""
        self._stated_bytes = self._find_stated_bytes()
        self._is_body_pending = True
        self._is_body_awaited = False
        self._body_bytes = 0
        self._framing_bytes = 0
        self._no_data_bytes = 0
        self._discarded_bytes = 0
        if self._stated_bytes != 0 and not self.cycle.response_complete:
            self.flow.pause_reading()

    def _has_body(self) -> bool:
        return any(
            name in _BODY_HEADERS and value != b"0"
            for name, value in self.headers
        )

    def _has_unknown_coding(self) -> bool:
        # The parser only removes the chunks.
        return any(
            name == b"transfer-encoding" and value.lower() != b"chunked"
            for name, value in self.headers
        )

    def _release_request(self) -> None:
        """Drops the head of a request that has been served."""
        self._field_bytes = 0
        self._stated_bytes = None
        self._drop_head()

    def _drop_head(self) -> None:
        self.headers = []
        self.scope = {}
        if self.cycle is not None:
            self.cycle.scope = {}

    def _on_flow_change(self) -> None:
        if not self.flow.read_paused and self._is_body_pending:
            self._is_body_awaited = True
            if not self._is_pipelined:
                self._wait_for_peer()
        self._parse()

    def _wait_for_peer(self) -> None:
        """Notes that the peer is expected to send or read from now on."""
        self._progress_bytes = 0
        self._is_waiting = True
        self._slots.end(self, self.loop.time())

    def _update(self) -> None:
        """Applies what has changed to the transport and to the slots."""
        if self.transport.is_closing() or self._closing is not None:
            return
        self._update_waiting()
        if self._hold():
            self._update_reading()

    def _update_waiting(self) -> None:
        is_waiting = self._is_waiting_for_peer()
        has_progressed = self._progress_bytes >= _PROGRESS_BYTES
        if self.flow.write_paused or self._is_request_ahead:
            has_progressed = False
        if is_waiting and (has_progressed or not self._is_waiting):
            self._wait_for_peer()
        elif self._is_waiting and not is_waiting:
            self._is_waiting = False
            self._slots.begin(self)

    def _is_waiting_for_peer(self) -> bool:
        # A peer that goes on to send requests ahead of their responses need not
        # be reading these. One whose data waits for its turn is not spared, as
        # many of these would otherwise keep all slots.
        if self.flow.write_paused or self._is_request_ahead:
            return True
        if self.flow.read_paused:
            return False
        return self._is_body_pending or not self._is_serving

    def _hold(self) -> bool:
        """Counts what the connection holds.

        Returns:
            Whether it may hold that; otherwise it is closed.
        """
        size_bytes = self._field_bytes + len(self._received)
        size_bytes += self.transport.get_write_buffer_size()
        if self._is_serving:
            if self._get_limits().max_body_bytes is not None:
                size_bytes += self._body_bytes
            elif not self._is_body_awaited:
                size_bytes += len(self.cycle.body)
        change_bytes = size_bytes - self._held_bytes
        if abs(change_bytes) < _HELD_STEP_BYTES and size_bytes:
            return True
        if not self._has_slot or size_bytes == self._held_bytes:
            return True
        if self._slots.hold(self, size_bytes, self.loop.time()):
            self._held_bytes = size_bytes
            return True
        if self._is_between_requests:
            self._log_closed(_MEMORY_SHORT.code)
            self.transport.close()
        else:
            self._reject(_MEMORY_SHORT)
        return False

    def _update_reading(self) -> None:
        """Reads on unless enough has been received."""
        transport = self.transport
        if self._is_serving and not self._is_body_pending:
            transport.max_size = _SERVING_READ_BYTES
            reads = len(self._received) < _MAX_READ_AHEAD_BYTES
        else:
            transport.max_size = self._read_bytes
            reads = not (self._received or self.flow.read_paused)
        if reads and not self._is_deferred:
            transport.resume_reading()
        else:
            transport.pause_reading()

    @property
    def _read_bytes(self) -> int:
        if not self._is_body_pending:
            return _HEAD_READ_BYTES
        if self._stated_bytes is None:
            return _CHUNKED_READ_BYTES
        return _BODY_READ_BYTES

    def _discard(self, size_bytes: int) -> None:
        """Reads the rest of a body whose request was answered before.

        A connection that is closed with unread data is reset, and its caller
        might not receive the response.
        """
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self._log_closed("unread-body")
            self.transport.close()

    def _reject(self, rejection: problem.Problem) -> None:
        self._stop_header_timer()
        self._log_closed(rejection.code)
        self._received.clear()
        if self._is_serving or self._is_pipelined:
            self.transport.close()
            return
        self._drop_head()
        if self._has_slot:
            self._slots.hold(self, 0, self.loop.time())
        # A request whose body is still arriving has been answered.
        if not self._is_body_pending:
            self.transport.write(_render(rejection))
        self._closing = lingering_close.LingeringClose(
            self.transport, self.loop
        )
        self.transport.resume_reading()

    def _log_closed(self, reason: str) -> None:
        self._slots.count_closed(reason)
        logger.warning("http.refused", reason=reason)

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
