"""Background tasks of a daemon."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from bronzeslip import backoff
from bronzeslip import logs

logger = logs.get_logger(__name__)

_MIN_RESTART_DELAY_S = 0.5
_MAX_RESTART_DELAY_S = 10.0
# A task that ran this long before it failed starts again with the first delay.
_STABLE_AFTER_S = 60.0

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


class BackgroundTasks:
    """Group of asyncio tasks that are restarted when they fail.

    The daemon goes on without a task until it is restarted. A task that ends
    without an exception is not restarted.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, name: str, run: TaskFactory) -> None:
        """Starts a task.

        Args:
            name: Name of the task in log lines.
            run: Runs the task; called again after each failure.
        """
        task = asyncio.create_task(_supervise(name, run), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have finished."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)


async def _supervise(name: str, run: TaskFactory) -> None:
    """Runs a task until it ends without an exception or is cancelled."""
    loop = asyncio.get_running_loop()
    restart_delay = backoff.Backoff(_MIN_RESTART_DELAY_S, _MAX_RESTART_DELAY_S)
    while True:
        started_s = loop.time()
        error = await _run_once(run)
        if error is None:
            return
        if loop.time() - started_s >= _STABLE_AFTER_S:
            restart_delay.reset()
        delay_s = restart_delay.next_delay_s()
        logger.error(
            "daemon.task_failed",
            task=name,
            reason=logs.describe(error),
            restart_in_s=round(delay_s, 3),
        )
        await asyncio.sleep(delay_s)


async def _run_once(run: TaskFactory) -> BaseException | None:
    """Runs a task once; returns the exception with which it failed."""
    try:
        await run()
    except asyncio.CancelledError as error:
        if asyncio.current_task().cancelling():
            raise
        # Something that the task waited for was cancelled, not the task.
        return error
    except Exception as error:
        return error
    return None
