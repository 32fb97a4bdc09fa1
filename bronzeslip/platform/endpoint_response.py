"""HTTP response of an endpoint."""

import asyncio
from collections.abc import AsyncIterator

import httpx

from bronzeslip import ids
from bronzeslip.decoding import numbers
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import response_origin
from bronzeslip.http import bounded_transport
from bronzeslip.http import head_scanner
from bronzeslip.http import hop_by_hop
from bronzeslip.http import paced_chunks
from bronzeslip.platform import caller_response
from bronzeslip.platform import connection_pool
from bronzeslip.platform import headers
from bronzeslip.settings import entry

_MISDIRECTED_STATUS = 421
# Callers take these for the promise that a request has not run.
_PROMISING_STATUSES = frozenset({408, 429, 503})
_TIMEOUT_PREFIX = "timeout="
# Response headers that apply only between endpoint and gateway.
_UNFORWARDED_HEADERS = frozenset(
    {headers.CONTENT_LENGTH, headers.ENDPOINT_ID, headers.SERVER_LOAD}
)

# Headers that are forwarded even if the Connection header names them.
_END_TO_END_HEADERS = frozenset(
    {headers.REQUEST_ID, headers.RESPONSE_STAMP, headers.RETRY_AFTER}
)


class HttpEndpointResponse:
    """Response that is read from a pooled connection.

    Attributes:
        head: Status and headers.
        verdict: Whether the request has run.
        is_leaving: Whether the endpoint announced with "Connection: close"
            that it closes the connection.
    """

    def __init__(
        self,
        response: httpx.Response,
        connection: connection_pool.PooledConnection,
        pool: connection_pool.ConnectionPool,
        settings: entry.EntrySettings,
        sender_id: ids.EndpointId,
    ) -> None:
        """Creates a response whose body is unread.

        Args:
            response: Response of the HTTP client.
            connection: Connection that it is read from.
            pool: Pool of the connection.
            settings: Timeouts and size limits.
            sender_id: Endpoint that the request was sent to.
        """
        self._settings = settings
        self._response = response
        self._connection = connection
        self._pool = pool
        self._has_begun_body = False
        self._is_complete = False
        self.head = _head(response, sender_id)
        self.verdict = _verdict(response)
        self.is_leaving = "close" in response.headers.get("connection", "")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they arrive.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the body is
                incomplete, or followed by another response without a boundary.
        """
        self._has_begun_body = True
        scanner = head_scanner.HeadScanner(headers.REQUEST_ID)
        try:
            async for chunk in paced_chunks.paced(self._response.stream):
                own_bytes = scanner.find(chunk)
                yield chunk[:own_bytes]
                if own_bytes is not None:
                    raise _merged_body_error()
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise endpoint_errors.EndpointResponseLostError(
                f"incomplete response: {type(error).__name__}"
            ) from error
        use = bounded_transport.connection_use_of(self._response)
        if scanner.reaches_beyond(use.unread_bytes()):
            raise _merged_body_error()
        self._is_complete = True

    async def read(self, max_bytes: int) -> bytes:
        """Reads the complete body.

        Raises:
            endpoint_errors.EndpointResponseLostError: If the body is
                incomplete or too large.
        """
        received: list[bytes] = []
        size_bytes = 0
        async for chunk in self.chunks():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                self._is_complete = False
                raise endpoint_errors.EndpointResponseLostError(
                    f"response of more than {max_bytes} bytes"
                )
            received.append(chunk)
        return b"".join(received)

    @property
    def responding_endpoint_id(self) -> str | None:
        """Id of the endpoint that the response states, or None."""
        return self._response.headers.get(headers.ENDPOINT_ID.decode())

    @property
    def states_limit(self) -> bool:
        """Whether the response states a request limit, readable or not."""
        return headers.SERVER_LIMIT.decode() in self._response.headers

    @property
    def states_load(self) -> bool:
        """Whether the response states the endpoint's load, readable or not."""
        return headers.SERVER_LOAD.decode() in self._response.headers

    async def abort(self) -> None:
        """Closes the connection immediately."""
        await self._response.stream.aclose()
        await self._connection.transport.aclose()

    async def close(self) -> None:
        """Returns the connection to the pool, or closes it mid-response."""
        has_not_run = (
            self.verdict is not endpoint_client.RunVerdict.MAY_HAVE_RUN
        )
        # The HTTP client loops forever if a body is read twice.
        if has_not_run and not self._has_begun_body:
            await self._drain_body()
        await self._response.stream.aclose()
        keep_alive_s = _keep_alive_timeout_s(self._response)
        if self._is_complete and keep_alive_s > 0 and not self.is_leaving:
            await self._pool.release(self._connection, keep_alive_s)
        else:
            await self._connection.transport.aclose()

    async def _drain_body(self) -> None:
        try:
            async with asyncio.timeout(self._settings.drain_timeout_s):
                await self.read(self._settings.drained_max_bytes)
        except (endpoint_errors.EndpointResponseLostError, TimeoutError):
            # The verdict from the headers remains valid; only the connection
            # can't be reused.
            self._is_complete = False


def _merged_body_error() -> endpoint_errors.EndpointResponseLostError:
    return endpoint_errors.EndpointResponseLostError(
        "the body contains the head of another response"
    )


def _head(
    response: httpx.Response, sender_id: ids.EndpointId
) -> endpoint_client.ResponseHead:
    framing = _framing(response)
    fields = [(name.lower(), value) for name, value in response.headers.raw]
    dropped = _UNFORWARDED_HEADERS | hop_by_hop.names_in(
        fields, _END_TO_END_HEADERS
    )
    return endpoint_client.ResponseHead(
        response.status_code,
        tuple(
            incoming.HeaderField(name, value)
            for name, value in fields
            if name not in dropped
        ),
        _content_length(response, framing),
        framing,
        _origin(response, sender_id),
    )


def _origin(
    response: httpx.Response, sender_id: ids.EndpointId
) -> response_origin.ResponseOrigin:
    use = bounded_transport.connection_use_of(response)
    return response_origin.ResponseOrigin(
        sender_id,
        response.headers.get(headers.RESPONSE_STAMP.decode()),
        use.number,
        use.response_count,
    )


def _content_length(
    response: httpx.Response, framing: body_framing.BodyFraming
) -> int | None:
    """Returns the stated length, or None if it is not that of the body."""
    if framing is body_framing.BodyFraming.CHUNKED:
        return None
    return numbers.parse_count(response.headers.get("content-length", ""))


def _framing(response: httpx.Response) -> body_framing.BodyFraming:
    if headers.TRANSFER_ENCODING.decode() in response.headers:
        return body_framing.BodyFraming.CHUNKED
    has_no_body = response.status_code in caller_response.NO_BODY_STATUSES
    if has_no_body or headers.CONTENT_LENGTH.decode() in response.headers:
        return body_framing.BodyFraming.LENGTH
    return body_framing.BodyFraming.CONNECTION_END


def _verdict(response: httpx.Response) -> endpoint_client.RunVerdict:
    if response.status_code == _MISDIRECTED_STATUS:
        return endpoint_client.RunVerdict.OTHER_ENDPOINT
    if headers.NOT_RUN.decode() in response.headers:
        return endpoint_client.RunVerdict.NOT_RUN
    if response.status_code in _PROMISING_STATUSES:
        return endpoint_client.RunVerdict.UNSTATED
    return endpoint_client.RunVerdict.MAY_HAVE_RUN


def _keep_alive_timeout_s(response: httpx.Response) -> float:
    """Returns the Keep-Alive timeout in seconds, 0 if there is none."""
    for field in response.headers.get("keep-alive", "").split(","):
        value = field.strip()
        if value.startswith(_TIMEOUT_PREFIX):
            seconds = value.removeprefix(_TIMEOUT_PREFIX)
            return float(numbers.parse_count(seconds) or 0)
    return 0.0
