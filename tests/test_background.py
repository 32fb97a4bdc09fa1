"""Tests of bronzeslip.background in virtual time."""

import asyncio
import itertools
import unittest

from bench import virtual_loop
from bronzeslip import background
from tests.support import log_capture


class _FailingTask:
    """Task that fails some times after some time."""

    def __init__(self, errors, runs_s=0.0):
        self.started_s = []
        self._errors = list(errors)
        self._runs_s = runs_s

    async def run(self):
        self.started_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._runs_s)
        if self._errors:
            raise self._errors.pop()

    def delays_s(self):
        return [
            later - earlier - self._runs_s
            for earlier, later in itertools.pairwise(self.started_s)
        ]


async def _run(task, duration_s):
    tasks = background.BackgroundTasks()
    tasks.start("some", task.run)
    await asyncio.sleep(duration_s)
    await tasks.stop()


class BackgroundTasksTest(unittest.TestCase):
    # One unforeseen exception in a background task ended the process.
    def test_failed_task_is_restarted(self):
        task = _FailingTask([RecursionError()] * 2)
        with log_capture.capture() as log:
            virtual_loop.run(_run(task, 60.0))
        self.assertEqual(len(task.started_s), 3)
        lines = log.matching("daemon.task_failed", task="some")
        self.assertEqual(len(lines), 2)
        self.assertIn("RecursionError", lines[0]["reason"])

    def test_other_tasks_go_on(self):
        async def run():
            tasks = background.BackgroundTasks()
            tasks.start("failing", _FailingTask([RecursionError()] * 99).run)
            other = asyncio.Event()
            tasks.start("other", other.wait)
            await asyncio.sleep(30.0)
            other.set()
            await asyncio.sleep(0)
            await tasks.stop()

        virtual_loop.run(run())

    def test_delays_grow_to_a_bound(self):
        task = _FailingTask([RecursionError()] * 1000)
        virtual_loop.run(_run(task, 300.0))
        delays_s = task.delays_s()
        self.assertLess(delays_s[0], 1.0)
        self.assertGreater(min(delays_s), 0.1)
        self.assertGreater(delays_s[-1], delays_s[0])
        self.assertLessEqual(max(delays_s), 10.0)

    def test_delay_is_short_again_after_a_long_run(self):
        task = _FailingTask([RecursionError()] * 1000, runs_s=600.0)
        virtual_loop.run(_run(task, 6000.0))
        self.assertLess(max(task.delays_s()), 1.0)

    def test_task_that_waited_for_something_cancelled_is_restarted(self):
        task = _FailingTask([asyncio.CancelledError()])
        virtual_loop.run(_run(task, 60.0))
        self.assertEqual(len(task.started_s), 2)

    def test_task_that_has_ended_is_not_restarted(self):
        task = _FailingTask([])
        virtual_loop.run(_run(task, 60.0))
        self.assertEqual(len(task.started_s), 1)

    def test_stopped_task_is_not_restarted(self):
        task = _FailingTask([], runs_s=600.0)
        virtual_loop.run(_run(task, 60.0))
        self.assertEqual(len(task.started_s), 1)

    def test_task_that_waits_for_its_restart_is_stopped(self):
        task = _FailingTask([RecursionError()] * 1000)
        virtual_loop.run(_run(task, 0.01))
        self.assertEqual(len(task.started_s), 1)


if __name__ == "__main__":
    unittest.main()
