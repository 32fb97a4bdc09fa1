"""HTTP route of the metrics page."""

import asyncio

from aioprometheus.formats import text
import litestar
from litestar import handlers

from bronzeslip.metrics import process_metrics


def create_handler(
    metrics: process_metrics.ProcessMetrics,
) -> handlers.BaseRouteHandler:
    """Creates the handler of /metrics."""

    @litestar.get("/metrics", summary="Shows the metrics of the process")
    async def show_metrics() -> litestar.Response[bytes]:
        return litestar.Response(
            await render(metrics),
            media_type=text.TEXT_CONTENT_TYPE,
            status_code=200,
        )

    return show_metrics


async def render(metrics: process_metrics.ProcessMetrics) -> bytes:
    """Renders the metrics, yielding to other tasks between collectors."""
    metrics.refresh()
    formatter = text.TextFormatter()
    blocks = []
    for collector in metrics.registry.get_all():
        blocks.append(formatter.marshall_collector(collector))
        await asyncio.sleep(0)
    return "\n".join([*blocks, ""]).encode()
