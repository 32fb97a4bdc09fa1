"""Rate-limited weight store of the platform stand-in."""

import time

from bronzeslip.store import objects


class WeightStore:
    """Grants one download at a time, limited to a byte rate."""

    def __init__(self, rate_bytes_per_s: float) -> None:
        self._rate_bytes_per_s = rate_bytes_per_s
        self._next_grant_at_s = 0.0

    def acquire(self, size_bytes: int) -> objects.WeightGrant:
        """Grants a download, or returns how long to wait before a retry."""
        now_s = time.monotonic()
        if self._next_grant_at_s > now_s:
            return objects.WeightGrant(False, self._next_grant_at_s - now_s)
        self._next_grant_at_s = now_s + size_bytes / self._rate_bytes_per_s
        return objects.WeightGrant(True)
