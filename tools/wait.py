"""Waiting for a condition in trials of processes."""

from collections.abc import Callable
import time
from typing import TypeVar

_TIMEOUT_S = 20.0

ResultT = TypeVar("ResultT")


def until(condition: Callable[[], ResultT]) -> ResultT:
    """Asks until a condition holds and returns what it returned."""
    deadline_s = time.monotonic() + _TIMEOUT_S
    while not (result := condition()):
        if time.monotonic() > deadline_s:
            raise TimeoutError("the condition did not come about")
        time.sleep(0.02)
    return result
