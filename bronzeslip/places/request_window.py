"""Counts requests in a sliding window."""

import collections

# A second, and the difference in delay between two requests to an endpoint.
_WINDOW_S = 1.1


class RequestWindow:
    """Times of the recent requests to one endpoint."""

    def __init__(self) -> None:
        self._sent_s: collections.deque[float] = collections.deque()

    def delay_s(self, max_requests: int, now_s: float) -> float:
        """Returns the time until one more request may be sent, in seconds.

        Args:
            max_requests: Maximum number of requests in a window, at least 1.
            now_s: Current time, in seconds.
        """
        while self._sent_s and self._sent_s[0] + _WINDOW_S <= now_s:
            self._sent_s.popleft()
        if len(self._sent_s) < max_requests:
            return 0.0
        return self._sent_s[-max_requests] + _WINDOW_S - now_s

    def add(self, now_s: float) -> None:
        """Records a request."""
        self._sent_s.append(now_s)
