"""HTTP connection that ties each response to the request it answers."""

from collections.abc import Callable

import h11
import httpcore

from bronzeslip.http import checked_http11_connection
from bronzeslip.http import field_values
from bronzeslip.http import skipped_body

# Extension of a request, which tells whether a response is one to another
# request. It is called once for each response received.
IS_FOREIGN = "is_foreign"
ForeignCheck = Callable[[httpcore.Response], bool]

# Responses to other requests that are skipped for one request.
_MAX_SKIPPED_RESPONSES = 3
_BODY_FIELDS = frozenset({b"content-length", b"transfer-encoding"})
_NO_BODY_STATUSES = frozenset({204, 304})


class CheckedConnection(httpcore.AsyncHTTPConnection):
    """Connection to a server that may send more than one response to a request.

    Bytes that follow a complete response belong to no request. A connection
    that holds such bytes expires. Responses that arrive later and are known to
    be those of other requests are skipped, and a head that is made up of two
    responses is no response.
    """

    def has_expired(self) -> bool:
        """Returns whether the connection must not be used again."""
        return super().has_expired() or self._has_unread_bytes

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Sends a request and reads the head of its response.

        Raises:
            httpcore.RemoteProtocolError: If the bytes received are not the
                response to this request.
        """
        await self._open(request)
        response = await super().handle_async_request(request)
        try:
            return await self._own_response(request, response)
        except BaseException:
            await response.aclose()
            await self.aclose()
            raise

    async def _open(self, request: httpcore.Request) -> None:
        # The library offers no other way to choose the type of connection.
        try:
            async with self._request_lock:
                if self._connection is None:
                    stream = await self._connect(request)
                    connection = (
                        checked_http11_connection.CheckedHttp11Connection(
                            self._origin, stream, self._keepalive_expiry
                        )
                    )
                    stream.use.unread_bytes = connection.unread_bytes
                    self._connection = connection
        except BaseException:
            self._connect_failed = True
            raise

    async def _own_response(
        self, request: httpcore.Request, response: httpcore.Response
    ) -> httpcore.Response:
        is_foreign: ForeignCheck | None = request.extensions.get(IS_FOREIGN)
        skipped_count = 0
        while True:
            # The parser takes what follows for other bytes than a body.
            if self._connection._h11_state.their_state is h11.SWITCHED_PROTOCOL:
                raise httpcore.RemoteProtocolError(
                    "the connection became a tunnel"
                )
            response.extensions["network_stream"].use.response_count += 1
            if not field_values.are_valid(response.headers):
                raise httpcore.RemoteProtocolError(
                    "the head contains control characters"
                )
            if is_foreign is None or not is_foreign(response):
                return response
            if skipped_count == _MAX_SKIPPED_RESPONSES:
                raise httpcore.RemoteProtocolError(
                    "too many responses to other requests"
                )
            skipped_count += 1
            response = await self._next_response(request, response)

    async def _next_response(
        self, request: httpcore.Request, skipped: httpcore.Response
    ) -> httpcore.Response:
        """Skips the body of a response and reads the head of the next one.

        Args:
            request: Request whose own response has not been received.
            skipped: Response to another request; its stream stays open, as
                closing it would let the connection be used again.

        Raises:
            httpcore.RemoteProtocolError: If no other response may follow.
        """
        if not _states_its_end(request, skipped):
            raise httpcore.RemoteProtocolError(
                "the response to another request ends with the connection"
            )
        connection = self._connection
        timeouts = request.extensions.get("timeout", {})
        await skipped_body.skip(connection, timeouts.get("read"))
        state = connection._h11_state
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            raise httpcore.RemoteProtocolError(
                "the response to another request ended the connection"
            )
        state.start_next_cycle()
        # The request was sent before; the parser has to expect its response.
        state.send(_bodiless(request))
        state.send(h11.EndOfMessage())
        (
            version,
            status,
            reason_phrase,
            fields,
            _,
        ) = await connection._receive_response_headers(request=request)
        return httpcore.Response(
            status,
            headers=fields,
            content=skipped.stream,
            extensions={
                **skipped.extensions,
                "http_version": version,
                "reason_phrase": reason_phrase,
            },
        )

    @property
    def _has_unread_bytes(self) -> bool:
        connection = self._connection
        if connection is None or not connection.is_idle():
            return False
        return bool(connection.unread_bytes())


def _bodiless(request: httpcore.Request) -> h11.Request:
    return h11.Request(
        method=request.method,
        target=request.url.target,
        headers=[
            (name, value)
            for name, value in request.headers
            if name.lower() not in _BODY_FIELDS
        ],
    )


def _states_its_end(
    request: httpcore.Request, response: httpcore.Response
) -> bool:
    if request.method == b"HEAD" or response.status in _NO_BODY_STATUSES:
        return True
    return any(name.lower() in _BODY_FIELDS for name, _ in response.headers)
