"""Polling for a condition in trials with processes."""

from collections.abc import Callable
import time
from typing import TypeVar

_TIMEOUT_S = 20.0

ResultT = TypeVar("ResultT")


def until(condition: Callable[[], ResultT]) -> ResultT:
    """Polls a condition until it is truthy and returns its value.

    Raises:
        TimeoutError: If the condition is not met in time.
    """
    deadline_s = time.monotonic() + _TIMEOUT_S
    while not (result := condition()):
        if time.monotonic() > deadline_s:
            raise TimeoutError("the condition was not met in time")
        time.sleep(0.02)
    return result
