"""ASGI application whose responses state their date once."""

from email import utils
from typing import Any

_DATE = b"date"


class DatedApp:
    """Adds a Date header to responses that have none.

    The server would add one to each response, also to those that an endpoint
    has dated.
    """

    def __init__(self, app: Any) -> None:
        """Wraps an ASGI application."""
        self._app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""

        async def send_dated(message: Any) -> None:
            if message["type"] == "http.response.start":
                message = {
                    **message,
                    "headers": _dated(message.get("headers", ())),
                }
            await send(message)

        await self._app(scope, receive, send_dated)


def _dated(fields: Any) -> list[tuple[bytes, bytes]]:
    if any(name.lower() == _DATE for name, _ in fields):
        return list(fields)
    return [(_DATE, utils.formatdate(usegmt=True).encode()), *fields]
