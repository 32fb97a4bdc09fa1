"""HTTP application of the sidecar: health and metrics."""

from collections.abc import Callable

import litestar

from bronzeslip.http import health


def create(is_ready: Callable[[], bool]) -> litestar.Litestar:
    """Creates the application."""
    return litestar.Litestar(
        route_handlers=health.handlers(is_ready),
        openapi_config=None,
        logging_config=None,
    )
