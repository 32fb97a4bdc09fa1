"""Tests of the metrics common to all daemons."""

import unittest

from bronzeslip import logs
from bronzeslip.metrics import page
from bronzeslip.metrics import process_metrics


class ProcessMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_resident_memory_is_shown(self):
        self.assertGreater(
            await self._value("bronzeslip_process_resident_bytes"), 1_000_000
        )

    # Sidecars and product gateways showed no failures of background tasks.
    async def test_failed_tasks_are_counted(self):
        name = 'bronzeslip_events_total{event="daemon.task_failed"}'
        logs.get_logger("test").error("daemon.task_failed")
        before = await self._value(name)
        logs.get_logger("test").error("daemon.task_failed")
        self.assertEqual(await self._value(name), before + 1)

    async def _value(self, name):
        rendered = (
            await page.render(process_metrics.ProcessMetrics())
        ).decode()
        (line,) = [
            line
            for line in rendered.splitlines()
            if line.startswith(f"{name} ")
        ]
        return float(line.split()[1])


if __name__ == "__main__":
    unittest.main()
