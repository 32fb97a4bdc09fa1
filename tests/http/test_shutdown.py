"""Tests of bronzeslip.http.shutdown."""

import asyncio
import unittest

from bronzeslip.http import shutdown


async def _fail():
    raise LookupError("a step that fails")


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    # Guards against steps that are skipped after one that failed.
    async def test_a_failed_step_is_logged(self):
        with self.assertLogs("absl") as captured:
            await shutdown.run_step("drain", _fail())
        self.assertIn("shutdown.step_failed", captured.output[0])
        self.assertIn("LookupError", captured.output[0])

    async def test_a_cancelled_step_stays_cancelled(self):
        step = asyncio.create_task(
            shutdown.run_step("drain", asyncio.Event().wait())
        )
        await asyncio.sleep(0)
        step.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await step


if __name__ == "__main__":
    unittest.main()
