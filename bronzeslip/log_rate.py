"""Bound on the lines of one event."""

import time

# A decision takes a line or two, and a gateway takes some hundred requests a
# second at most.
_LINES_PER_S = 200.0
_BURST_LINES = 400.0


class LogRateLimiter:
    """Lets so many lines of one event through; counts the others."""

    def __init__(self) -> None:
        self._available = _BURST_LINES
        self._refilled_s = time.monotonic()
        self._suppressed = 0

    def try_acquire(self) -> bool:
        """Tells whether a line may be written now."""
        now_s = time.monotonic()
        self._available = min(
            self._available + (now_s - self._refilled_s) * _LINES_PER_S,
            _BURST_LINES,
        )
        self._refilled_s = now_s
        if self._available < 1:
            self._suppressed += 1
            return False
        self._available -= 1
        return True

    def take_suppressed_count(self) -> int:
        """Returns how many lines were left out since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
