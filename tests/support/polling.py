"""Waiting for a condition in asynchronous tests."""

import asyncio

_POLL_INTERVAL_S = 0.005
_MAX_POLLS = 1000


async def wait_until(condition):
    """Polls for about five seconds until a condition is true."""
    for _ in range(_MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise AssertionError("the condition was not met in time")
