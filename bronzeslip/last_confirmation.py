"""Time since followed objects were last known to be up to date."""

from collections.abc import Callable
import time


class LastConfirmation:
    """Tells how old an unnoticed change to followed objects may be."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Starts without a confirmation.

        Args:
            clock: Clock, in seconds.
        """
        self._clock = clock
        self._confirmed_s: float | None = None

    def confirm(self) -> None:
        """Records that all changes up to now are known."""
        self._confirmed_s = self._clock()

    def age_s(self) -> float | None:
        """Returns the time since the last one in seconds, None before it."""
        if self._confirmed_s is None:
            return None
        return self._clock() - self._confirmed_s

    @property
    def rounded_age_s(self) -> float | None:
        """The age as written to the log, in seconds."""
        age_s = self.age_s()
        return None if age_s is None else round(age_s, 3)
