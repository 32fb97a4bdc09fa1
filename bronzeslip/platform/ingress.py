"""ASGI application that takes the platform's requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from bronzeslip import logs
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import pipeline
from bronzeslip.platform import caller_reply
from bronzeslip.platform import request_decoder
from bronzeslip.routes import current
from bronzeslip.routes import limits

logger = logs.get_logger(__name__)

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_NO_LIMITS = limits.CallerLimits()


class _CallerGoneError(Exception):
    """The caller has closed its connection."""


class Ingress:
    """Reads requests, serves them and sends what becomes of them."""

    def __init__(
        self, served: pipeline.Pipeline, in_force: current.CurrentTable
    ) -> None:
        self._pipeline = served
        self._current = in_force

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        arrived_s = asyncio.get_running_loop().time()
        to_caller = caller_reply.CallerReply(send, scope["method"])
        try:
            body = await self._read_body(receive)
            request = request_decoder.decode(scope, body, arrived_s)
        except _CallerGoneError:
            return
        except errors.ForwardingError as error:
            await to_caller.fail(error)
            return
        await self._serve(request, to_caller, receive)

    async def _serve(
        self,
        request: incoming.IncomingRequest,
        to_caller: caller_reply.CallerReply,
        receive: Receive,
    ) -> None:
        """Serves a request; cancels the work when the caller leaves."""
        work = asyncio.create_task(self._answer(request, to_caller))
        leaving = asyncio.create_task(_wait_until_gone(receive))
        try:
            await asyncio.wait(
                (work, leaving), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (work, leaving):
                task.cancel()
            await asyncio.wait((work, leaving))
        if work.cancelled():
            logger.info("request.caller_gone", request=request.request_id)
        elif work.exception() is not None:
            logger.error(
                "request.failed_unexpectedly",
                request=request.request_id,
                reason=logs.describe(work.exception()),
            )

    async def _answer(
        self,
        request: incoming.IncomingRequest,
        to_caller: caller_reply.CallerReply,
    ) -> None:
        try:
            await self._pipeline.serve(request, to_caller)
        except errors.ForwardingError as error:
            logger.info(
                "request.ended",
                request=request.request_id,
                code=error.code,
                reason=error.message,
                retry_after_s=error.retry_after_s,
            )
            await to_caller.fail(error)

    async def _read_body(self, receive: Receive) -> bytes:
        known = self._current.table
        bounds = _NO_LIMITS if known is None else known.limits
        parts = []
        size_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerGoneError
            parts.append(message.get("body", b""))
            size_bytes += len(parts[-1])
            if size_bytes > bounds.max_body_bytes:
                raise errors.BodyTooLargeError(
                    f"the body is larger than {bounds.max_body_bytes} bytes"
                )
            if not message.get("more_body", False):
                return b"".join(parts)


async def _wait_until_gone(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
