"""Waiting for a condition in asynchronous tests."""

import asyncio

_STEP_S = 0.005
_STEPS = 1000


async def until(condition):
    """Waits for five seconds at most until a condition holds."""
    for _ in range(_STEPS):
        if condition():
            return
        await asyncio.sleep(_STEP_S)
    raise AssertionError("the condition did not come about in time")
