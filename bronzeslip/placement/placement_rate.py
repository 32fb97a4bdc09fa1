"""Rate at which waiting generations are placed."""

import collections
import math

# Bounds memory; clients with longer patience are judged by this window.
_MAX_WINDOW_S = 10.0
# An overloaded shard of six engines places a few late requests per second.
_MIN_WINDOW_S = 2.0
# A client that waits longer allows a longer, more accurate measurement.
_WINDOW_PATIENCE_SHARE = 0.25


class PlacementRate:
    """Tokens of one group of requests placed per second while some wait."""

    def __init__(self) -> None:
        self._waiting_since_s: float | None = None
        self._placed: collections.deque[tuple[float, int]] = collections.deque()

    def record_waiting(self, is_any_waiting: bool, now_s: float) -> None:
        """Records whether requests of the group wait."""
        if not is_any_waiting:
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s

    def record_placed(self, expected_tokens: int, now_s: float) -> None:
        """Records that a request of the group was placed."""
        self._placed.append((now_s, expected_tokens))
        while self._placed[0][0] < now_s - _MAX_WINDOW_S:
            self._placed.popleft()

    def wait_s(
        self,
        tokens_ahead: int,
        patience_s: float,
        settling_s: float,
        now_s: float,
    ) -> float:
        """Returns the time to place the requests ahead, in seconds.

        Args:
            tokens_ahead: Tokens of the requests ahead.
            patience_s: Time for which the client waits in total, in seconds.
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
        window_s = min(
            max(_WINDOW_PATIENCE_SHARE * patience_s, _MIN_WINDOW_S),
            _MAX_WINDOW_S,
        )
        if now_s - since_s < settling_s + window_s:
            return 0.0
        placed_tokens = sum(
            tokens
            for placed_s, tokens in self._placed
            if placed_s > now_s - window_s
        )
        if not placed_tokens:
            return math.inf
        return tokens_ahead * window_s / placed_tokens
