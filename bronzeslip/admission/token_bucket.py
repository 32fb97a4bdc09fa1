"""Token bucket rate limiter."""

_BURST_S = 1.0


class TokenBucket:
    """Limits a rate and allows bursts of up to one second of that rate."""

    def __init__(self, now_s: float) -> None:
        self._tokens: float | None = None
        self._last_refill_s = now_s

    def take(self, rate_per_s: float, now_s: float) -> float:
        """Takes one token if one is available.

        Args:
            rate_per_s: Refill rate, in tokens per second.
            now_s: Current time on a monotonic clock, in seconds.

        Returns:
            0 if a token was taken, otherwise the time until one is
            available, in seconds.
        """
        capacity = max(rate_per_s * _BURST_S, 1.0)
        if self._tokens is None:
            self._tokens = capacity
        refill = (now_s - self._last_refill_s) * rate_per_s
        self._tokens = min(self._tokens + refill, capacity)
        self._last_refill_s = now_s
        if self._tokens < 1:
            return (1 - self._tokens) / rate_per_s
        self._tokens -= 1
        return 0.0
