"""Tests of bronzeslip.task_set."""

import asyncio
import unittest

from bronzeslip import task_set
from tests.support import log_capture


async def _fail():
    raise KeyError("secret")


class TaskSetTest(unittest.IsolatedAsyncioTestCase):
    # Tasks in the background failed unseen.
    async def test_failed_task_is_logged(self):
        tasks = task_set.TaskSet()
        with log_capture.capture() as log:
            tasks.start("some", _fail())
            await tasks.wait()
            await asyncio.sleep(0)
        line = log.single("task.failed", task="some")
        self.assertIn("KeyError", line["reason"])
        self.assertNotIn("secret", line["reason"])

    async def test_cancelled_task_is_no_failure(self):
        tasks = task_set.TaskSet()
        with log_capture.capture() as log:
            tasks.start("some", asyncio.sleep(60.0)).cancel()
            await tasks.wait()
            await asyncio.sleep(0)
        self.assertEqual(log.lines, [])

    async def test_waits_for_all_tasks(self):
        tasks = task_set.TaskSet()
        started = [tasks.start("some", asyncio.sleep(0.01)) for _ in range(2)]
        await tasks.wait()
        self.assertTrue(all(task.done() for task in started))


if __name__ == "__main__":
    unittest.main()
