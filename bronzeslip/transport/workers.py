"""Groups of tasks that are cancelled together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


async def run_together(*workers: Coroutine[Any, Any, None]) -> None:
    """Runs coroutines until all end or one fails, then cancels the others.

    Raises:
        Exception: The exception of the first coroutine that failed.
    """
    tasks = [asyncio.create_task(worker) for worker in workers]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def run_until_first(*workers: Coroutine[Any, Any, None]) -> None:
    """Runs coroutines until the first ends, then cancels the others.

    Raises:
        Exception: The exception of the first coroutine to end, if any.
    """
    tasks = [asyncio.create_task(worker) for worker in workers]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
