"""ASGI application whose exceptions do not reach the server."""

from typing import Any

from bronzeslip import isolation
from bronzeslip import logs

logger = logs.get_logger(__name__)


class IsolatedApp:
    """Logs the exceptions of an application as events.

    The server sends status 500 if the response has not started, and closes the
    connection otherwise.
    """

    def __init__(self, app: Any) -> None:
        """Wraps an ASGI application."""
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        with isolation.isolated(logger, "http.app_failed"):
            await self._app(scope, receive, send)
