"""Bound on the lines of one event."""

import time

# A decision takes a line or two, and a gateway takes some hundred requests a
# second at most.
_LINES_PER_S = 200.0
_BURST_LINES = 400.0


class LogRate:
    """Lets so many lines of one event through; counts the others."""

    def __init__(self) -> None:
        self._left = _BURST_LINES
        self._filled_s = time.monotonic()
        self._left_out = 0

    def take(self) -> bool:
        """Tells whether a line may be written now."""
        now_s = time.monotonic()
        self._left = min(
            self._left + (now_s - self._filled_s) * _LINES_PER_S, _BURST_LINES
        )
        self._filled_s = now_s
        if self._left < 1:
            self._left_out += 1
            return False
        self._left -= 1
        return True

    def take_left_out(self) -> int:
        """Returns how many lines were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out
