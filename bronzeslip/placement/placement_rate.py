"""Rate at which waiting generations are placed."""

import collections
import math

# An overloaded shard of six engines places a few late requests per second.
_WINDOW_S = 2.0


class PlacementRate:
    """Tokens of one group of requests placed per second while some wait."""

    def __init__(self) -> None:
        self._waiting_since_s: float | None = None
        self._placed: collections.deque[tuple[float, int]] = collections.deque()
        self._placed_tokens = 0

    def record_waiting(self, is_any_waiting: bool, now_s: float) -> None:
        """Records whether requests of the group wait."""
        if not is_any_waiting:
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def record_placed(self, expected_tokens: int, now_s: float) -> None:
        """Records that a request of the group was placed."""
        self._placed.append((now_s, expected_tokens))
        self._placed_tokens += expected_tokens
        self._remove_old(now_s)

    def wait_s(
        self, tokens_ahead: int, settling_s: float, now_s: float
    ) -> float:
        """Returns the time to place the requests ahead, in seconds.

        Args:
            tokens_ahead: Tokens of the requests ahead.
            settling_s: Time from the first request that waits to the first
                that is placed, in seconds.
            now_s: Current time on a monotonic clock, in seconds.

        Returns:
            0 while no requests have waited for long enough to tell, and
            infinity if none of them was placed.
        """
        since_s = self._waiting_since_s
        if not tokens_ahead or since_s is None:
            return 0.0
        if now_s - since_s < settling_s + _WINDOW_S:
            return 0.0
        self._remove_old(now_s)
        if not self._placed_tokens:
            return math.inf
        return tokens_ahead * _WINDOW_S / self._placed_tokens

    def _remove_old(self, now_s: float) -> None:
        while self._placed and self._placed[0][0] <= now_s - _WINDOW_S:
            _, tokens = self._placed.popleft()
            self._placed_tokens -= tokens
