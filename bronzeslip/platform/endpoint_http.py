"""Calls to endpoints over HTTP."""

from typing import Any

import httpx

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_answer
from bronzeslip.platform import engine_messages
from bronzeslip.platform import headers
from bronzeslip.platform import kept_connections
from bronzeslip.settings import entry

logger = logs.get_logger(__name__)

_MS_PER_S = 1000
_OK_STATUS = 200


class HttpEndpointClient:
    """Calls endpoints over connections that are kept for a while."""

    def __init__(self, settings: entry.EntrySettings) -> None:
        self._settings = settings
        self._pools: dict[str, kept_connections.KeptConnections] = {}
        # Answers to these calls carry no id, so they get connections of their
        # own.
        self._control_pools: dict[str, kept_connections.KeptConnections] = {}
        self._closed: list[kept_connections.KeptConnections] = []

    async def close(self) -> None:
        """Closes the idle connections."""
        for pools in (self._pools, self._control_pools):
            self._closed.extend(pools.values())
        for pool in self._closed:
            await pool.close()

    def forget(self, known: endpoint.Endpoint) -> None:
        """Closes the idle connections to an endpoint that is gone."""
        for pools in (self._pools, self._control_pools):
            pool = pools.pop(_pool_key(known), None)
            if pool is not None:
                self._closed.append(pool)

    async def send(
        self, sent: dispatch.Dispatch
    ) -> endpoint_answer.HttpEndpointAnswer:
        """Sends a request and waits for the head of its answer.

        Raises:
            endpoint_errors.EndpointUnreachableError: If nothing was sent.
            endpoint_errors.EndpointResponseLostError: If no own answer came.
        """
        request = httpx.Request(
            sent.request.method,
            f"http://{sent.endpoint.address}/",
            headers=_headers_of(sent),
            content=sent.request.body,
            extensions={
                "target": sent.request.target,
                "timeout": self._timeouts(None),
            },
        )
        pool = self._pool_of(self._pools, sent.endpoint)
        answer = await _exchange(pool, request)
        if not answer.belongs_to(sent.request.request_id):
            await answer.abort()
            logger.warning(
                "endpoint.unmatched_answer",
                request=sent.request.request_id,
                endpoint=sent.endpoint.endpoint_id,
                echoed=answer.echoed_id,
                status=answer.head.status,
            )
            raise endpoint_errors.EndpointResponseLostError(
                "the answer belongs to another request"
            )
        return answer

    async def check_presence(
        self, known: endpoint.Endpoint, health_path: str
    ) -> None:
        """Asks an endpoint for its health over a new connection.

        Raises:
            endpoint_errors.EndpointAbsentError: If nothing listens there, or
                another endpoint does.
            endpoint_errors.EndpointError: If it did not answer.
        """
        request = self._control_request(known, "GET", health_path)
        pool = kept_connections.KeptConnections(self._settings)
        answer = await _exchange(pool, request)
        await answer.abort()
        if answer.answering_endpoint not in (None, known.endpoint_id):
            raise endpoint_errors.EndpointAbsentError(
                f"{answer.answering_endpoint} answers there"
            )

    async def report(self, known: endpoint.Endpoint) -> report.EngineReport:
        """Reads an engine's report.

        Raises:
            endpoint_errors.EndpointError: If none came.
        """
        request = self._control_request(known, "GET", "/report")
        body = await self._call(known, request)
        return engine_messages.decode_report(body)

    async def copy_run(
        self,
        source: endpoint.Endpoint,
        request_id: ids.RequestId,
        target: endpoint.Endpoint,
        is_last: bool,
        timeout_s: float,
    ) -> endpoint_client.CopyResult:
        """Has an engine copy a run's memory to another engine.

        Raises:
            endpoint_errors.EndpointRefusedError: If it made no copy.
            endpoint_errors.EndpointError: If no answer came.
        """
        message = engine_messages.encode_move(
            request_id, target.address, is_last
        )
        request = self._control_request(
            source, "POST", "/kv-move", message, timeout_s
        )
        body = await self._call(source, request)
        return engine_messages.decode_moved(body)

    async def drop_copy(
        self, keeper: endpoint.Endpoint, handle: ids.HandleId
    ) -> None:
        """Has an engine free a copy, at both ends if it is the source.

        Raises:
            endpoint_errors.EndpointError: If it did not answer so.
        """
        request = self._control_request(
            keeper, "DELETE", f"/kv-handle/{handle}"
        )
        await self._call(keeper, request)

    async def _call(
        self, known: endpoint.Endpoint, request: httpx.Request
    ) -> bytes:
        pool = self._pool_of(self._control_pools, known)
        answer = await _exchange(pool, request)
        try:
            body = b"".join([chunk async for chunk in answer.chunks()])
        finally:
            await answer.close()
        if answer.head.status != _OK_STATUS:
            raise endpoint_errors.EndpointRefusedError(
                f"{request.url.path}: status {answer.head.status}"
            )
        return body

    def _control_request(
        self,
        known: endpoint.Endpoint,
        method: str,
        path: str,
        message: bytes | None = None,
        timeout_s: float | None = None,
    ) -> httpx.Request:
        """Creates a request that waits as long as for a report by default."""
        wait_s = timeout_s or self._settings.report_timeout_s
        return httpx.Request(
            method,
            f"http://{known.address}{path}",
            headers={"Host": known.address, "Content-Type": "application/json"},
            content=message,
            extensions={"timeout": self._timeouts(wait_s)},
        )

    def _pool_of(
        self,
        pools: dict[str, kept_connections.KeptConnections],
        known: endpoint.Endpoint,
    ) -> kept_connections.KeptConnections:
        key = _pool_key(known)
        if key not in pools:
            pools[key] = kept_connections.KeptConnections(self._settings)
        return pools[key]

    def _timeouts(self, read_s: float | None) -> dict[str, Any]:
        return {
            "connect": self._settings.connect_timeout_s,
            "read": read_s,
            "write": read_s,
            "pool": None,
        }


async def _exchange(
    pool: kept_connections.KeptConnections, request: httpx.Request
) -> endpoint_answer.HttpEndpointAnswer:
    kept = await pool.take()
    try:
        response = await kept.transport.handle_async_request(request)
    except httpx.ConnectError as error:
        await kept.transport.aclose()
        raise endpoint_errors.EndpointAbsentError(
            "the connection is refused"
        ) from error
    except httpx.ConnectTimeout as error:
        await kept.transport.aclose()
        raise endpoint_errors.EndpointUnreachableError(
            "the connection does not come about in time"
        ) from error
    except httpx.HTTPError as error:
        await kept.transport.aclose()
        raise endpoint_errors.EndpointResponseLostError(
            f"no answer: {type(error).__name__}"
        ) from error
    except BaseException:
        await kept.transport.aclose()
        raise
    return endpoint_answer.HttpEndpointAnswer(response, kept, pool)


def _pool_key(known: endpoint.Endpoint) -> str:
    return f"{known.address}/{known.endpoint_id}/{known.started_unix_ms}"


def _headers_of(sent: dispatch.Dispatch) -> list[tuple[bytes, bytes]]:
    left_ms = max(round(sent.remaining_s * _MS_PER_S), 1)
    fields = [(found.name, found.value) for found in sent.request.headers]
    fields.append((headers.DEADLINE_MS, str(left_ms).encode()))
    fields.append(
        (headers.EXPECTED_ENDPOINT, sent.endpoint.endpoint_id.encode())
    )
    if sent.workspace_id is not None:
        fields.append((headers.WORKSPACE, sent.workspace_id.encode()))
    if sent.priority is not None:
        fields.append((headers.PRIORITY, str(sent.priority).encode()))
    if sent.backup is not None:
        fields.append((headers.BACKUP, sent.backup.address.encode()))
    if sent.source is not None:
        copy = f"{sent.source.address}/{sent.source.handle}"
        fields.append((headers.SOURCE, copy.encode()))
        after = sent.source.after_event_id
        fields.append((headers.LAST_EVENT_ID, after.encode()))
    return fields
