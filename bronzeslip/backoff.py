"""Delays between attempts that have failed."""

import random


class Backoff:
    """Jittered delays that double with each consecutive failure."""

    def __init__(self, min_s: float, max_s: float) -> None:
        """Creates delays.

        Args:
            min_s: Maximum of the first delay, in seconds.
            max_s: Maximum of any delay, in seconds.
        """
        self._min_s = min_s
        self._max_s = max_s
        self._next_s = min_s

    def next_delay_s(self) -> float:
        """Returns the delay after another failure, in seconds."""
        delay_s = self._next_s * random.uniform(0.5, 1.0)
        self._next_s = min(2 * self._next_s, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Starts again with the first delay."""
        self._next_s = self._min_s
