"""Tests of the metrics common to all daemons."""

import unittest

from bronzeslip.metrics import page
from bronzeslip.metrics import process_metrics


class ProcessMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_resident_memory_is_shown(self):
        rendered = (
            await page.render(process_metrics.ProcessMetrics())
        ).decode()
        (line,) = [
            line
            for line in rendered.splitlines()
            if line.startswith("bronzeslip_process_resident_bytes ")
        ]
        self.assertGreater(float(line.split()[1]), 1_000_000)


if __name__ == "__main__":
    unittest.main()
