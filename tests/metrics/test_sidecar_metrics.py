"""Tests of the sidecar's metrics."""

import unittest

from bronzeslip.metrics import page
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason


class SidecarMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_shows_what_was_recorded(self):
        metrics = sidecar_metrics.SidecarMetrics()
        load = link.EndpointLoad(running=3, queued=2, memory_used_ratio=0.5)
        metrics.set_load_source(lambda: load)
        metrics.record_admission_wait("drafts", 0.1)
        metrics.count_refusal("drafts", reason.RefusalReason.QUEUE_FULL)
        metrics.count_preemptions("drafts", 2)
        metrics.count_preemptions("drafts", 0)
        metrics.count_engine_resume("drafts")
        lines = (await page.render(metrics)).decode().splitlines()
        for line in (
            'bronzeslip_admission_wait_seconds_count{service="drafts"} 1.0',
            'bronzeslip_endpoint_refusals_total{reason="queue-full",'
            'service="drafts"} 1',
            'bronzeslip_preemptions_total{service="drafts"} 2',
            'bronzeslip_engine_resumes_total{service="drafts"} 1',
            'bronzeslip_endpoint_requests{state="running"} 3',
            'bronzeslip_endpoint_requests{state="queued"} 2',
            "bronzeslip_endpoint_memory_used_ratio 0.5",
        ):
            self.assertIn(line, lines)


if __name__ == "__main__":
    unittest.main()
