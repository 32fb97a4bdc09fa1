"""HTTP application of the sidecar: health and metrics."""

from collections.abc import Callable

import litestar

from bronzeslip.http import health
from bronzeslip.metrics import page
from bronzeslip.metrics import sidecar_metrics


def create(
    is_ready: Callable[[], bool], metrics: sidecar_metrics.SidecarMetrics
) -> litestar.Litestar:
    """Creates the application."""
    return litestar.Litestar(
        route_handlers=[
            *health.handlers(is_ready),
            page.create_handler(metrics),
        ],
        openapi_config=None,
        logging_config=None,
    )
