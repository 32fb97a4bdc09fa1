"""Tasks that live and end together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


async def run_together(*workers: Coroutine[Any, Any, None]) -> None:
    """Runs workers until the first fails, then ends the others.

    Raises:
        Exception: What the first worker that failed has raised.
    """
    tasks = [asyncio.create_task(worker) for worker in workers]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def run_until_first(*workers: Coroutine[Any, Any, None]) -> None:
    """Runs workers until the first ends, then ends the others.

    Raises:
        Exception: What the first worker to end has raised.
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
