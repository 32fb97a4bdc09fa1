"""Event queue of a discrete event simulation."""

from collections.abc import Callable
import heapq
import itertools


class EventQueue:
    """Runs callbacks in the order of their virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._entries: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay."""
        entry = (self.now_s + delay_s, next(self._order), callback)
        heapq.heappush(self._entries, entry)

    def run(self, until: Callable[[], bool]) -> None:
        """Runs callbacks until a condition holds or none is scheduled."""
        while self._entries and not until():
            self.now_s, _, callback = heapq.heappop(self._entries)
            callback()
