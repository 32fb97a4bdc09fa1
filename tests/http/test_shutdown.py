"""Tests of bronzeslip.http.shutdown."""

import asyncio
import os
import signal
import unittest

from bronzeslip.http import shutdown


async def _fail():
    raise LookupError("a step that fails")


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            previous = signal.getsignal(number)
            self.addCleanup(signal.signal, number, previous)

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

    # Guards against a signal that kills a process which has ended its work.
    async def test_signals_at_the_end_are_ignored(self):
        signals = shutdown.ShutdownSignals()
        signals.install()
        signals.on_reload(signals.request)
        shutdown.ignore_signals()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            os.kill(os.getpid(), number)
        await asyncio.sleep(0)
        self.assertFalse(signals.requested.is_set())


if __name__ == "__main__":
    unittest.main()
