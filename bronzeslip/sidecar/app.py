"""HTTP application of the sidecar: health and metrics."""

from collections.abc import Callable

import litestar

from bronzeslip.http import health
from bronzeslip.http import internal_app
from bronzeslip.metrics import page
from bronzeslip.metrics import sidecar_metrics


def create(
    is_ready: Callable[[], bool], metrics: sidecar_metrics.SidecarMetrics
) -> litestar.Litestar:
    """Creates the application."""
    return internal_app.create(
        *health.handlers(is_ready), page.create_handler(metrics)
    )
