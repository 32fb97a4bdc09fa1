"""Tracks the crashes of one endpoint."""

from collections.abc import Callable
import time

from bronzeslip import ids

_CRASH_WINDOW_S = 10.0


class CrashTracker:
    """Assigns the same crash id to all requests lost in one crash."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._current_id = ids.CrashId("")
        self._last_loss_at_s = 0.0

    def record_loss(self) -> ids.CrashId:
        """Records that a request was lost and returns the id of the crash."""
        now_s = self._clock()
        if (
            not self._current_id
            or now_s - self._last_loss_at_s > _CRASH_WINDOW_S
        ):
            self._current_id = ids.CrashId(ids.random_id())
        self._last_loss_at_s = now_s
        return self._current_id

    def record_answer(self) -> None:
        """Records that the endpoint answers; the next loss is a new crash."""
        self._current_id = ids.CrashId("")
