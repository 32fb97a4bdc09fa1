"""Bound on a rate."""

_BURST_S = 1.0


class TokenBucket:
    """Allows a sustained rate and bursts of a second's worth."""

    def __init__(self, now_s: float) -> None:
        self._tokens: float | None = None
        self._last_refill_s = now_s

    def take(self, rate_per_s: float, now_s: float) -> float:
        """Takes one token if there is one.

        Args:
            rate_per_s: Rate at which tokens come.
            now_s: Time on a monotonic clock, in seconds.

        Returns:
            0 if a token was taken, or else the wait for it, in seconds.
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
