"""Background tasks of a daemon."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from bronzeslip import logs

logger = logs.get_logger(__name__)


class BackgroundTasks:
    """Group of asyncio tasks that logs failures and is cancelled as a whole."""

    def __init__(self, on_failure: Callable[[], None]) -> None:
        """Creates an empty group of tasks.

        Args:
            on_failure: Called when a task raises an exception.
        """
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task] = set()

    def start(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a coroutine as a task with a name."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have finished."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.error(
            "daemon.task_failed",
            task=task.get_name(),
            reason=logs.describe(task.exception()),
        )
        self._on_failure()
