"""ASGI application that receives the requests of callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from bronzeslip import logs
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import pipeline
from bronzeslip.platform import caller_response
from bronzeslip.platform import request_decoder
from bronzeslip.routes import current
from bronzeslip.routes import limits

logger = logs.get_logger(__name__)

AsgiScope = dict[str, Any]
AsgiReceive = Callable[[], Awaitable[dict[str, Any]]]
AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]

# Used until the first configuration is received.
_DEFAULT_LIMITS = limits.CallerLimits()


class _CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class Ingress:
    """Reads requests, forwards them and sends the responses."""

    def __init__(
        self,
        request_pipeline: pipeline.Pipeline,
        current_table: current.CurrentTable,
    ) -> None:
        self._pipeline = request_pipeline
        self._current_table = current_table

    async def __call__(
        self, scope: AsgiScope, receive: AsgiReceive, send: AsgiSend
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        arrived_s = asyncio.get_running_loop().time()
        response = caller_response.CallerResponse(send, scope["method"])
        try:
            body = await self._read_body(receive)
            request = request_decoder.decode(scope, body, arrived_s)
        except _CallerDisconnectedError:
            return
        except errors.ForwardingError as error:
            await response.fail(error)
            return
        await self._serve(request, response, receive)

    async def _serve(
        self,
        request: incoming.IncomingRequest,
        response: caller_response.CallerResponse,
        receive: AsgiReceive,
    ) -> None:
        """Handles a request; cancels it when the caller disconnects."""
        handling = asyncio.create_task(self._handle(request, response))
        disconnecting = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (handling, disconnecting), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (handling, disconnecting):
                task.cancel()
            await asyncio.wait((handling, disconnecting))
        if handling.cancelled():
            logger.info("request.caller_gone", request=request.request_id)
        elif handling.exception() is not None:
            logger.error(
                "request.failed_unexpectedly",
                request=request.request_id,
                reason=logs.describe(handling.exception()),
            )

    async def _handle(
        self,
        request: incoming.IncomingRequest,
        response: caller_response.CallerResponse,
    ) -> None:
        try:
            await self._pipeline.serve(request, response)
        except errors.ForwardingError as error:
            logger.info(
                "request.ended",
                request=request.request_id,
                code=error.code,
                reason=error.message,
                retry_after_s=error.retry_after_s,
            )
            await response.fail(error)

    async def _read_body(self, receive: AsgiReceive) -> bytes:
        table = self._current_table.table
        caller_limits = _DEFAULT_LIMITS if table is None else table.limits
        chunks = []
        size_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerDisconnectedError
            chunks.append(message.get("body", b""))
            size_bytes += len(chunks[-1])
            if size_bytes > caller_limits.max_body_bytes:
                raise errors.BodyTooLargeError(
                    "the request body is larger than "
                    f"{caller_limits.max_body_bytes} bytes"
                )
            if not message.get("more_body", False):
                return b"".join(chunks)


async def _wait_for_disconnect(receive: AsgiReceive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
