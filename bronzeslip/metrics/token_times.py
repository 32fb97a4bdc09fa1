"""Inter-token times of one answer."""

import bisect
import time

from bronzeslip.metrics import buckets

_STALL_THRESHOLD_S = 0.25


class TokenTimes:
    """Counts the gaps between an answer's tokens by histogram bucket.

    Tokens that arrive together have gaps of zero. The part of a gap that
    exceeds a quarter of a second counts as a stall.

    Attributes:
        first_s: Time from the request to its first token, in seconds; None
            before the first token.
        stall_s: Sum of the stalls, in seconds.
        gap_counts: Number of gaps per bucket of BETWEEN_TOKENS_S.
        gap_sum_s: Sum of the gaps, in seconds.
    """

    __slots__ = (
        "_last_s",
        "_started_s",
        "first_s",
        "gap_counts",
        "gap_sum_s",
        "stall_s",
    )

    def __init__(self, started_s: float) -> None:
        """Starts measuring at a request.

        Args:
            started_s: Time of the request on the monotonic clock, in seconds.
        """
        self._started_s = started_s
        self._last_s = 0.0
        self.first_s: float | None = None
        self.stall_s = 0.0
        self.gap_counts = [0] * (len(buckets.BETWEEN_TOKENS_S) + 1)
        self.gap_sum_s = 0.0

    def add(self, token_count: int) -> None:
        """Records tokens that have just arrived together."""
        now_s = time.monotonic()
        if self.first_s is None:
            self.first_s = now_s - self._started_s
        else:
            self._add_gap(now_s - self._last_s)
        self.gap_counts[0] += token_count - 1
        self._last_s = now_s

    def _add_gap(self, gap_s: float) -> None:
        index = bisect.bisect_left(buckets.BETWEEN_TOKENS_S, gap_s)
        self.gap_counts[index] += 1
        self.gap_sum_s += gap_s
        if gap_s > _STALL_THRESHOLD_S:
            self.stall_s += gap_s - _STALL_THRESHOLD_S
