"""HTTP client of a model engine."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import TypeVar

import httpx
import httpx_sse
import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.engine import bounded_events
from bronzeslip.engine import errors
from bronzeslip.engine import messages
from bronzeslip.http import bounded_exchange
from bronzeslip.http import url_transport

_CONNECT_TIMEOUT_S = 1.0
_CALL_TIMEOUT_S = 5.0
_PROBE_TIMEOUT_S = 1.0
_MAX_BODY_BYTES = 1024 * 1024
_MAX_EVENT_BYTES = 1024 * 1024
_FIELDS = {"Accept-Encoding": "identity"}

_event_decoder = msgspec.json.Decoder(messages.StreamEvent)

AnswerT = TypeVar("AnswerT")


class EngineClient:
    """Client of one engine; all requests may raise errors.EngineError.

    Responses name no request. A faulty engine may send one again where the next
    is due, so only reports, which lag behind anyway, share connections.
    """

    def __init__(
        self,
        base_url: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client.

        Args:
            base_url: Base URL of the engine.
            transport: Transport to use in place of TCP, for tests.
        """
        timeout = httpx.Timeout(_CALL_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S)
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout,
            headers=_FIELDS,
            transport=transport or url_transport.create(),
        )
        self._unpooled_http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout,
            headers=_FIELDS,
            transport=transport or url_transport.create(max_idle_connections=0),
        )

    async def close(self) -> None:
        """Closes the connections to the engine."""
        await self._http.aclose()
        await self._unpooled_http.aclose()

    async def generate(
        self, request: messages.GenerationRequest
    ) -> AsyncIterator[messages.StreamEvent]:
        """Starts a generation and yields its events.

        Raises:
            errors.EngineRefusedError: If the engine rejected the request.
            errors.EngineUnreachableError: If the request was not sent.
            errors.EngineUnavailableError: If the stream broke off.
        """
        async for event in self._stream(
            self._unpooled_http,
            "POST",
            "/v1/generations",
            content=msgspec.json.encode(request),
        ):
            yield event

    async def resume(
        self, generation_id: ids.GenerationId, next_index: int
    ) -> AsyncIterator[messages.StreamEvent]:
        """Yields the events from an index onwards, over a new connection.

        Raises:
            errors.GenerationUnknownError: If the engine does not know the
                generation.
            errors.EngineUnavailableError: If the stream broke off.
        """
        path = f"/v1/generations/{generation_id}/stream"
        async for event in self._stream(
            self._unpooled_http, "GET", path, params={"next_index": next_index}
        ):
            yield event

    async def cancel(self, generation_id: ids.GenerationId) -> None:
        """Cancels a generation; an unknown id is not an error."""
        await self._call(
            self._unpooled_http, "DELETE", f"/v1/generations/{generation_id}"
        )

    async def load(self) -> messages.EngineLoad:
        """Reads the engine's load report, which lags behind its state."""
        response = await self._call(self._http, "GET", "/v1/load")
        return _decode(response, messages.EngineLoad)

    async def probe(self) -> messages.EngineLoad:
        """Reads the load over a new connection, with a short timeout.

        Raises:
            errors.EngineUnreachableError: If no connection was established.
            errors.EngineUnavailableError: If the engine did not answer in
                time.
        """
        path = "/v1/load"
        with _converting_errors(path):
            response = await bounded_exchange.request(
                self._unpooled_http,
                "GET",
                path,
                _PROBE_TIMEOUT_S,
                _MAX_BODY_BYTES,
                timeout=_PROBE_TIMEOUT_S,
            )
        _raise_for_status(path, response)
        return _decode(response, messages.EngineLoad)

    async def cache_events(
        self, after_sequence: int
    ) -> tuple[messages.CacheEvent, ...]:
        """Reads the cache events after a sequence number."""
        response = await self._call(
            self._http,
            "GET",
            "/v1/cache-events",
            params={"after": after_sequence},
        )
        return _decode(response, tuple[messages.CacheEvent, ...])

    async def state(self) -> messages.EngineState:
        """Reads which model and adapters the engine has loaded."""
        response = await self._call(self._http, "GET", "/v1/state")
        return _decode(response, messages.EngineState)

    async def send_order(
        self, order: messages.EngineOrder
    ) -> messages.EngineState:
        """Sends an order.

        Raises:
            errors.EngineRefusedError: If its fencing number is outdated.
            errors.EngineUnavailableError: If the engine did not answer; the
                order may have been carried out.
        """
        response = await self._call(
            self._unpooled_http,
            "POST",
            "/v1/orders",
            content=msgspec.json.encode(order),
        )
        return _decode(response, messages.EngineState)

    async def _stream(
        self,
        http: httpx.AsyncClient,
        method: str,
        path: str,
        **options: Any,
    ) -> AsyncIterator[messages.StreamEvent]:
        timeout = httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S)
        with _converting_errors(path):
            async with httpx_sse.aconnect_sse(
                http, method, path, timeout=timeout, **options
            ) as source:
                _raise_for_status(path, source.response)
                bounded = bounded_events.BoundedEvents(
                    source.response.stream, _MAX_EVENT_BYTES
                )
                source.response.stream = bounded
                async for event in source.aiter_sse():
                    bounded.record_event()
                    yield untrusted.decoded_by(
                        _event_decoder.decode, event.data
                    )

    async def _call(
        self, http: httpx.AsyncClient, method: str, path: str, **options: Any
    ) -> httpx.Response:
        with _converting_errors(path):
            response = await bounded_exchange.request(
                http, method, path, _CALL_TIMEOUT_S, _MAX_BODY_BYTES, **options
            )
        _raise_for_status(path, response)
        return response


@contextlib.contextmanager
def _converting_errors(path: str) -> Any:
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        raise errors.EngineUnreachableError(
            f"{path}: {type(error).__name__}"
        ) from error
    except (httpx.HTTPError, httpx_sse.SSEError) as error:
        raise errors.EngineUnavailableError(
            f"{path}: {type(error).__name__}"
        ) from error
    except decoding_errors.UndecodableError as error:
        raise errors.EngineError(f"{path}: {error.message}") from error


def _raise_for_status(path: str, response: httpx.Response) -> None:
    status = response.status_code
    if status < httpx.codes.BAD_REQUEST:
        return
    message = f"{path}: HTTP status {status}"
    if status == httpx.codes.NOT_FOUND:
        raise errors.GenerationUnknownError(message)
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        raise errors.EngineUnavailableError(message)
    raise errors.EngineRefusedError(message)


def _decode(response: httpx.Response, answer_type: type[AnswerT]) -> AnswerT:
    with _converting_errors(str(response.url.path)):
        return untrusted.from_json(response.content, answer_type)
