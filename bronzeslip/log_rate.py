"""Rate limit on the log lines of one event."""

import time

# Each decision about a request logs one or two lines, and a gateway handles at
# most a few hundred requests per second.
_LINES_PER_S = 200.0
_BURST_LINES = 400.0


class LogRateLimiter:
    """Token bucket for the lines of one event; counts suppressed lines."""

    def __init__(self) -> None:
        self._available = _BURST_LINES
        self._refilled_s = time.monotonic()
        self._suppressed = 0

    def try_acquire(self) -> bool:
        """Returns whether a line may be written now."""
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
        """Returns the number of lines suppressed since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
