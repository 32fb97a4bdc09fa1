"""Measures the cost of metrics per token frame, per request and per scrape."""

import argparse
import asyncio
import time

from bronzeslip import ids
from bronzeslip.configuration import workspace
from bronzeslip.metrics import gateway_metrics
from bronzeslip.metrics import outcome
from bronzeslip.metrics import page
from bronzeslip.metrics import request_labels
from bronzeslip.metrics import token_times

_FRAME_COUNT = 1_000_000
_REQUEST_COUNT = 10_000


def main() -> None:
    """Runs the measurements and prints the costs."""
    parser = argparse.ArgumentParser(prog="metrics_cost")
    parser.add_argument("--services", type=int, default=25)
    flags = parser.parse_args()
    print(f"token frame: {_frame_cost_us():.3f} us")
    metrics = gateway_metrics.GatewayMetrics()
    print(f"request: {_request_cost_us(metrics):.1f} us")
    _record_requests(metrics, flags.services)
    asyncio.run(_scrape(metrics))


async def _scrape(metrics: gateway_metrics.GatewayMetrics) -> None:
    longest_s = 0.0

    async def measure_delays() -> None:
        nonlocal longest_s
        while True:
            before_s = time.perf_counter()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.perf_counter() - before_s)

    delay_task = asyncio.create_task(measure_delays())
    started_s = time.process_time()
    content = await page.render(metrics)
    elapsed_s = time.process_time() - started_s
    delay_task.cancel()
    lines = content.count(b"\n")
    print(
        f"scrape: {lines} lines, {len(content)} bytes, {elapsed_s:.3f} s, "
        f"event loop blocked for at most {longest_s:.3f} s"
    )


def _frame_cost_us() -> float:
    times = token_times.TokenTimes(time.monotonic())
    started_s = time.process_time()
    for _ in range(_FRAME_COUNT):
        times.add(1)
    return (time.process_time() - started_s) / _FRAME_COUNT * 1e6


def _request_cost_us(metrics: gateway_metrics.GatewayMetrics) -> float:
    labels = request_labels.RequestLabels(
        ids.ServiceName("service-0"), workspace.WorkspaceClass.DRAFT
    )
    times = token_times.TokenTimes(time.monotonic())
    times.add(1)
    started_s = time.process_time()
    for _ in range(_REQUEST_COUNT):
        metrics.record_queue_wait(labels, outcome.RequestOutcome.COMPLETED, 0.1)
        metrics.record_answer(
            labels, outcome.RequestOutcome.COMPLETED, 1.0, times
        )
    return (time.process_time() - started_s) / _REQUEST_COUNT * 1e6


def _record_requests(
    metrics: gateway_metrics.GatewayMetrics, services: int
) -> None:
    times = token_times.TokenTimes(time.monotonic())
    times.add(1)
    for index in range(services):
        for workspace_class in workspace.WorkspaceClass:
            labels = request_labels.RequestLabels(
                ids.ServiceName(f"service-{index}"), workspace_class
            )
            for result in outcome.RequestOutcome:
                metrics.record_queue_wait(labels, result, 0.1)
                metrics.record_answer(labels, result, 1.0, times)


if __name__ == "__main__":
    main()
