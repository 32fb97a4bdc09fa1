"""Liveness and readiness endpoints of the daemons."""

from collections.abc import Callable
from collections.abc import Sequence

import litestar
from litestar import handlers as litestar_handlers

_OK_STATUS = 200
_UNAVAILABLE_STATUS = 503


def handlers(
    is_ready: Callable[[], bool], ready_path: str = "/readyz"
) -> Sequence[litestar_handlers.BaseRouteHandler]:
    """Returns the route handlers of /livez and of the readiness check.

    Args:
        is_ready: Returns whether the process accepts new work.
        ready_path: Path of the readiness check.
    """

    @litestar.get(
        "/livez",
        media_type=litestar.MediaType.TEXT,
        summary="Tells that the process runs",
    )
    async def livez() -> str:
        return "ok"

    @litestar.get(
        ready_path,
        media_type=litestar.MediaType.TEXT,
        summary="Tells whether the process takes new work",
    )
    async def readyz() -> litestar.Response[str]:
        if is_ready():
            return litestar.Response("ok", status_code=_OK_STATUS)
        return litestar.Response("not ready", status_code=_UNAVAILABLE_STATUS)

    return (livez, readyz)
