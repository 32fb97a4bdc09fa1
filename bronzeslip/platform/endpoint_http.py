"""HTTP client for endpoints."""

import asyncio
from typing import Any

import httpx

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip import task_set
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.http import checked_connection
from bronzeslip.http import sliced_body
from bronzeslip.platform import connect_errors
from bronzeslip.platform import connection_pool
from bronzeslip.platform import endpoint_announcements
from bronzeslip.platform import endpoint_response
from bronzeslip.platform import engine_messages
from bronzeslip.platform import request_headers
from bronzeslip.platform import response_match
from bronzeslip.platform import response_matcher
from bronzeslip.platform import total_timeout
from bronzeslip.settings import entry

logger = logs.get_logger(__name__)

_OK_STATUS = 200
_NOT_FOUND_STATUS = 404
_FINAL_STATUSES = range(200, 600)


class HttpEndpointClient:
    """Calls endpoints over pooled connections.

    What an endpoint says about itself in the headers of any response is
    recorded in the directory. An endpoint that has asked for a pause is not
    called.

    Responses to control calls name no request. A faulty endpoint may send bytes
    after a complete response, which would be taken for the response to the next
    call. Calls that act on a run or a copy therefore use new connections.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        endpoints: directory.EndpointDirectory,
    ) -> None:
        """Creates a client without connections.

        Args:
            settings: Timeouts and size limits.
            endpoints: Directory that records announcements of endpoints.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._pools: dict[str, connection_pool.ConnectionPool] = {}
        # Responses without a request id must not share connections with
        # forwarded requests.
        self._control_pools: dict[str, connection_pool.ConnectionPool] = {}
        self._closing_tasks = task_set.TaskSet()

    async def close(self) -> None:
        """Closes the idle connections."""
        for pools in (self._pools, self._control_pools):
            for pool in pools.values():
                await pool.close()

    def remove_endpoint(self, target: endpoint.Endpoint) -> None:
        """Removes the connection pools of an endpoint that leaves or is gone.

        Responses in progress are completed first.
        """
        for pools in (self._pools, self._control_pools):
            pool = pools.pop(_pool_key(target), None)
            if pool is not None:
                self._closing_tasks.start("close connections", pool.close())

    async def send(
        self, outgoing: dispatch.Dispatch
    ) -> endpoint_response.HttpEndpointResponse:
        """Sends a request and waits for the headers of its response.

        Raises:
            endpoint_errors.EndpointUnreachableError: If nothing was sent.
            endpoint_errors.EndpointResponseLostError: If no response to this
                request was received.
        """
        matcher = response_matcher.ResponseMatcher(outgoing)
        request = httpx.Request(
            outgoing.request.method,
            f"http://{outgoing.endpoint.address}/",
            headers=request_headers.build(outgoing),
            content=outgoing.request.body,
            extensions={
                "target": outgoing.request.target,
                "timeout": self._timeouts(None),
                checked_connection.IS_FOREIGN: matcher.is_foreign,
            },
        )
        if len(outgoing.request.body) > sliced_body.SLICE_BYTES:
            request.stream = sliced_body.SlicedBody(outgoing.request.body)
        pool = self._get_pool(self._pools, outgoing.endpoint)
        sent_s = asyncio.get_running_loop().time()
        response = await self._exchange(
            outgoing.endpoint, pool, request, matcher
        )
        # Control calls and errors need not state a limit that is in force.
        if response.head.is_success and not response.states_limit:
            self._endpoints.request_limits.end(outgoing.endpoint, sent_s)
        if response.head.is_success and not response.states_load:
            self._endpoints.load_statements.record_missing(outgoing.endpoint)
        return response

    async def check_presence(
        self, target: endpoint.Endpoint, health_path: str
    ) -> None:
        """Checks that an endpoint exists, by a health request.

        The request uses a new connection.

        Raises:
            endpoint_errors.EndpointAbsentError: If the connection is refused
                or another endpoint responds at that address.
            endpoint_errors.EndpointError: If no response was received.
        """
        request = self._control_request(target, "GET", health_path)
        pool = self._create_unkept_pool()
        async with total_timeout.TotalTimeout(self._settings.report_timeout_s):
            response = await self._exchange(target, pool, request)
        await response.abort()
        if response.responding_endpoint_id not in (None, target.endpoint_id):
            raise endpoint_errors.EndpointAbsentError(
                f"endpoint {response.responding_endpoint_id} has this address"
            )

    async def report(
        self, target: endpoint.Endpoint, must_be_own: bool = False
    ) -> report.EngineReport:
        """Fetches the report of an engine.

        Args:
            target: The engine.
            must_be_own: Whether the report must not be the response to an
                earlier call; takes a new connection.

        Raises:
            endpoint_errors.EndpointError: If no valid report was received.
        """
        request = self._control_request(target, "GET", "/report")
        if must_be_own:
            pool = self._create_unkept_pool()
        else:
            pool = self._get_pool(self._control_pools, target)
        body = await self._call(
            target, pool, request, self._settings.report_timeout_s
        )
        return engine_messages.decode_report(body)

    async def read_load(
        self, target: endpoint.Endpoint, health_path: str
    ) -> None:
        """Makes an endpoint state its load, by a health request.

        What its response states is recorded as for any other response.

        Raises:
            endpoint_errors.EndpointError: If the endpoint did not respond, or
                is not healthy.
        """
        request = self._control_request(target, "GET", health_path)
        await self._call(
            target,
            self._get_pool(self._control_pools, target),
            request,
            self._settings.report_timeout_s,
        )

    async def copy_run(
        self,
        source: endpoint.Endpoint,
        request_id: ids.RequestId,
        target: endpoint.Endpoint,
        is_last: bool,
        timeout_s: float,
    ) -> endpoint_client.CopyResult:
        """Makes an engine copy the KV cache of a run to another engine.

        Raises:
            endpoint_errors.EndpointNotFoundError: If the engine has no such
                run.
            endpoint_errors.EndpointRefusedError: If the engine made no copy.
            endpoint_errors.EndpointError: If no response was received.
        """
        message = engine_messages.encode_move_request(
            request_id, target.address, is_last
        )
        request = self._control_request(
            source, "POST", "/kv-move", message, timeout_s
        )
        pool = self._create_unkept_pool()
        body = await self._call(source, pool, request, timeout_s)
        return engine_messages.decode_move_response(body)

    async def drop_copy(
        self, holder: endpoint.Endpoint, handle: ids.HandleId
    ) -> None:
        """Makes an engine free a copy.

        If the engine is the source of the copy, the target frees it too.

        Raises:
            endpoint_errors.EndpointError: If the engine did not confirm it.
        """
        request = self._control_request(
            holder, "DELETE", f"/kv-handle/{handle}"
        )
        await self._call(
            holder,
            self._create_unkept_pool(),
            request,
            self._settings.report_timeout_s,
        )

    async def _call(
        self,
        target: endpoint.Endpoint,
        pool: connection_pool.ConnectionPool,
        request: httpx.Request,
        timeout_s: float,
    ) -> bytes:
        """Makes a control call, bounded in time and in bytes as a whole."""
        async with total_timeout.TotalTimeout(timeout_s):
            response = await self._exchange(target, pool, request)
            try:
                body = await response.read(
                    self._settings.control_response_max_bytes
                )
            finally:
                await response.close()
        _raise_for_status(request.url.path, response.head.status)
        return body

    async def _exchange(
        self,
        target: endpoint.Endpoint,
        pool: connection_pool.ConnectionPool,
        request: httpx.Request,
        matcher: response_matcher.ResponseMatcher | None = None,
    ) -> endpoint_response.HttpEndpointResponse:
        """Sends a request and reads the head of its response.

        Args:
            target: Endpoint that receives it.
            pool: Connections to the endpoint.
            request: The request.
            matcher: Matcher of the responses to a caller's request, None for
                control calls.
        """
        if self._endpoints.pause_remaining_s(target):
            raise endpoint_errors.EndpointRefusedError(
                "the endpoint has asked for a pause"
            )
        connection = await pool.acquire(matcher and matcher.request_id)
        if matcher:
            matcher.earlier_ids = connection.recent_ids
        try:
            response = await connection.transport.handle_async_request(request)
        except httpx.ConnectError as error:
            await connection.transport.aclose()
            raise connect_errors.to_endpoint_error(error) from error
        except httpx.ConnectTimeout as error:
            await connection.transport.aclose()
            raise endpoint_errors.EndpointUnreachableError(
                "connection timed out"
            ) from error
        except httpx.HTTPError as error:
            await connection.transport.aclose()
            raise endpoint_errors.EndpointResponseLostError(
                f"no response: {type(error).__name__} ({error})"
            ) from error
        except BaseException:
            await connection.transport.aclose()
            raise
        if response.status_code not in _FINAL_STATUSES:
            await response.stream.aclose()
            await connection.transport.aclose()
            raise endpoint_errors.EndpointResponseLostError(
                f"invalid status {response.status_code}"
            )
        if matcher and matcher.match is not response_match.ResponseMatch.OWN:
            await response.stream.aclose()
            await connection.transport.aclose()
            raise endpoint_errors.EndpointResponseLostError(
                "received a response that does not name the request"
            )
        endpoint_announcements.record(self._endpoints, target, response)
        return endpoint_response.HttpEndpointResponse(
            response, connection, pool, self._settings, target.endpoint_id
        )

    def _control_request(
        self,
        target: endpoint.Endpoint,
        method: str,
        path: str,
        message: bytes | None = None,
        timeout_s: float | None = None,
    ) -> httpx.Request:
        """Creates a request; its timeout defaults to report_timeout_s."""
        wait_s = timeout_s or self._settings.report_timeout_s
        return httpx.Request(
            method,
            f"http://{target.address}{path}",
            headers={
                "Host": target.address,
                "Content-Type": "application/json",
            },
            content=message,
            extensions={"timeout": self._timeouts(wait_s)},
        )

    def _create_unkept_pool(self) -> connection_pool.ConnectionPool:
        return connection_pool.ConnectionPool(
            self._settings, keeps_connections=False
        )

    def _get_pool(
        self,
        pools: dict[str, connection_pool.ConnectionPool],
        target: endpoint.Endpoint,
    ) -> connection_pool.ConnectionPool:
        key = _pool_key(target)
        if key not in pools:
            pools[key] = connection_pool.ConnectionPool(self._settings)
        return pools[key]

    def _timeouts(self, read_s: float | None) -> dict[str, Any]:
        return {
            "connect": self._settings.connect_timeout_s,
            "read": read_s,
            "write": read_s,
            "pool": None,
        }


def _raise_for_status(path: str, status: int) -> None:
    if status == _OK_STATUS:
        return
    message = f"{path}: status {status}"
    if status == _NOT_FOUND_STATUS:
        raise endpoint_errors.EndpointNotFoundError(message)
    raise endpoint_errors.EndpointRefusedError(message)


def _pool_key(target: endpoint.Endpoint) -> str:
    return f"{target.address}/{target.endpoint_id}/{target.started_unix_ms}"
