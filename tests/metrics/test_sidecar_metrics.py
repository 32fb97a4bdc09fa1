"""Metrics of a sidecar."""

import unittest

from bronzeslip.metrics import page
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason


class SidecarMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_shows_what_was_recorded(self):
        metrics = sidecar_metrics.SidecarMetrics()
        load = link.EndpointLoad(running=3, queued=2, memory_used_ratio=0.5)
        metrics.follow_load(lambda: load)
        metrics.admitted("drafts", 0.1)
        metrics.refused("drafts", reason.RefusalReason.QUEUE_FULL)
        metrics.preempted("drafts", 2)
        metrics.preempted("drafts", 0)
        metrics.engine_resumed("drafts")
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
