"""Polling for a condition in trials with processes."""

from collections.abc import Callable
import time
from typing import TypeVar

_TIMEOUT_S = 20.0

ResultT = TypeVar("ResultT")


def until(
    condition: Callable[[], ResultT], timeout_s: float = _TIMEOUT_S
) -> ResultT:
    """Polls a condition until it is truthy and returns its value.

    Args:
        condition: Condition to wait for.
        timeout_s: Maximum time to wait, in seconds.

    Raises:
        TimeoutError: If the condition is not met in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while not (result := condition()):
        if time.monotonic() > deadline_s:
            raise TimeoutError("the condition was not met in time")
        time.sleep(0.02)
    return result
