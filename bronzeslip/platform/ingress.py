"""ASGI application that receives the requests of callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from bronzeslip import logs
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import pipeline
from bronzeslip.memory import budget
from bronzeslip.memory import reservation
from bronzeslip.platform import body_reader
from bronzeslip.platform import caller_response
from bronzeslip.platform import request_decoder

logger = logs.get_logger(__name__)

AsgiScope = dict[str, Any]
AsgiReceive = Callable[[], Awaitable[dict[str, Any]]]
AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]


class Ingress:
    """Reads requests, forwards them and sends the responses."""

    def __init__(
        self,
        request_pipeline: pipeline.Pipeline,
        reader: body_reader.BodyReader,
        memory: budget.MemoryBudget,
    ) -> None:
        """Initializes the ingress.

        Args:
            request_pipeline: Serves requests.
            reader: Reads the bodies of requests.
            memory: Budget that each request draws on.
        """
        self._pipeline = request_pipeline
        self._reader = reader
        self._memory = memory

    async def __call__(
        self, scope: AsgiScope, receive: AsgiReceive, send: AsgiSend
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        with (
            reservation.Reservation(self._memory.requests) as held,
            reservation.Reservation(self._memory.responses) as memory,
        ):
            response = caller_response.CallerResponse(
                send, scope["method"], memory
            )
            await self._receive(scope, receive, response, held)

    async def _receive(
        self,
        scope: AsgiScope,
        receive: AsgiReceive,
        response: caller_response.CallerResponse,
        held: reservation.Reservation,
    ) -> None:
        arrived_s = asyncio.get_running_loop().time()
        try:
            body = await self._reader.read(scope, receive, held)
            request = request_decoder.decode(scope, body, arrived_s)
        except body_reader.CallerDisconnectedError:
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


async def _wait_for_disconnect(receive: AsgiReceive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
