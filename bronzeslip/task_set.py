"""Tasks whose results nobody awaits."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from bronzeslip import logs

logger = logs.get_logger(__name__)


class TaskSet:
    """Keeps tasks alive until they end and logs those that fail."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        """Returns the number of tasks that have not ended."""
        return len(self._tasks)

    def start(
        self, name: str, coroutine: Coroutine[Any, Any, object]
    ) -> asyncio.Task:
        """Starts a task.

        Args:
            name: Name of the task in the log line about its failure.
            coroutine: What the task runs.
        """
        task = start(name, coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait(self) -> None:
        """Waits until the tasks started so far have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)


def start(name: str, coroutine: Coroutine[Any, Any, object]) -> asyncio.Task:
    """Starts a task and logs its exception if it fails.

    Args:
        name: Name of the task in the log line about its failure.
        coroutine: What the task runs.
    """
    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error(
            "task.failed",
            task=task.get_name(),
            reason=logs.describe(task.exception()),
        )
