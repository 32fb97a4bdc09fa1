"""Sizes of the requests that a coordinator has placed."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip.load import placement

# Bounds how long a size is kept whose gateway does not state the end, for
# example since it was killed. Few generations take longer.
_MAX_AGE_S = 60.0


class PlacedRequests:
    """Keeps the size of each placed request until it ends."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Starts without requests.

        Args:
            clock: Clock of the event loop, in seconds.
        """
        self._clock = clock
        # In the order of their placement.
        self._requests: dict[ids.RequestId, placement.Placement] = {}

    def add(self, placed: placement.Placement) -> None:
        """Adds a request, or updates it."""
        self._requests.pop(placed.request_id, None)
        self._requests[placed.request_id] = placed
        self._expire()

    def get(self, request_id: ids.RequestId) -> placement.Placement | None:
        """Returns the latest placement of a request, or None."""
        return self._requests.get(request_id)

    def remove(self, request_id: ids.RequestId) -> None:
        """Removes a request that has ended."""
        self._requests.pop(request_id, None)

    def _expire(self) -> None:
        oldest_s = self._clock() - _MAX_AGE_S
        while self._requests:
            oldest = next(iter(self._requests.values()))
            if oldest.placed_s > oldest_s:
                return
            del self._requests[oldest.request_id]
