"""Streaming HTTP response of server-sent events."""

from collections.abc import AsyncGenerator
from collections.abc import Callable
import contextlib
from typing import Any

import litestar
from litestar import types
from litestar.response import base

from bronzeslip import logs
from bronzeslip.gateway import disconnect
from bronzeslip.gateway import errors

logger = logs.get_logger(__name__)

_MEDIA_TYPE = "text/event-stream"


class EventStream(litestar.Response[bytes]):
    """Streams events and closes their source, even on a disconnect."""

    def __init__(
        self,
        events: AsyncGenerator[bytes, None],
        on_end: Callable[[], None],
        headers: dict[str, str],
    ) -> None:
        """Creates the response.

        Args:
            events: Encoded events.
            on_end: Called when the response has ended, for any reason.
            headers: Headers of the response.
        """
        super().__init__(
            b"",
            media_type=_MEDIA_TYPE,
            headers={**headers, "cache-control": "no-cache"},
        )
        self._events = events
        self._on_end = on_end

    def to_asgi_response(self, **_: Any) -> base.ASGIResponse:
        """Returns the ASGI application that sends the response."""
        return _AsgiEventStream(self._events, self._on_end, self.headers)


class _AsgiEventStream(base.ASGIResponse):
    _should_set_content_length = False

    def __init__(
        self,
        events: AsyncGenerator[bytes, None],
        on_end: Callable[[], None],
        headers: dict[str, str],
    ) -> None:
        super().__init__(headers=headers, media_type=_MEDIA_TYPE)
        self._events = events
        self._on_end = on_end

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._on_end()

    async def send_body(self, send: types.Send, receive: types.Receive) -> None:
        try:
            await disconnect.run_while_connected(receive, self._relay(send))
        except errors.CallerDisconnectedError:
            logger.info("caller.gone")

    async def _relay(self, send: types.Send) -> None:
        message = {"type": "http.response.body", "more_body": True}
        async with contextlib.aclosing(self._events):
            async for event in self._events:
                await send({**message, "body": event})
        await send({**message, "body": b"", "more_body": False})
