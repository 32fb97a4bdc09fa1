"""Latencies of a stream as seen by its caller."""

import asyncio


class StreamTimes:
    """Measures the time to the first event and the longest pause after it.

    Attributes:
        first_event_s: Time to the first event, in seconds, or None before it.
        longest_pause_s: Longest pause between two events, in seconds.
        longest_pause_event: Number of events sent before the longest pause.
    """

    def __init__(self, arrived_s: float) -> None:
        """Starts the measurement.

        Args:
            arrived_s: Time at which the request arrived, on the event loop's
                clock, in seconds.
        """
        self._last_s = arrived_s
        self._answering_since_s: float | None = None
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0
        self.longest_pause_event = 0

    @property
    def answering_s(self) -> float:
        """Time since the current engine sent its first event, in seconds."""
        if self._answering_since_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._answering_since_s

    def restart(self) -> None:
        """Records that another engine goes on."""
        self._answering_since_s = None

    def record_event(self, events_before: int) -> None:
        """Records that events are sent now.

        Args:
            events_before: Number of events sent before these.
        """
        now_s = asyncio.get_running_loop().time()
        pause_s = now_s - self._last_s
        self._last_s = now_s
        if self._answering_since_s is None:
            self._answering_since_s = now_s
        if self.first_event_s is None:
            self.first_event_s = pause_s
        elif pause_s > self.longest_pause_s:
            self.longest_pause_s = pause_s
            self.longest_pause_event = events_before
