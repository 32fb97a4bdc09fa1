"""Crashes of one endpoint."""

from collections.abc import Callable
import time

from bronzeslip import ids

_CRASH_WINDOW_S = 10.0


class CrashTracker:
    """Gives the requests that are lost to one crash the same crash id."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._current_id = ids.CrashId("")
        self._last_loss_at_s = 0.0

    def record_loss(self) -> ids.CrashId:
        """Notes that a request was lost and returns the crash's id."""
        now_s = self._clock()
        if (
            not self._current_id
            or now_s - self._last_loss_at_s > _CRASH_WINDOW_S
        ):
            self._current_id = ids.CrashId(ids.random_id())
        self._last_loss_at_s = now_s
        return self._current_id

    def record_answer(self) -> None:
        """Notes that the endpoint answers, so the next loss is another's."""
        self._current_id = ids.CrashId("")
