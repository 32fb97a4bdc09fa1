"""Trials of quarantined prompts that may be innocent."""

from collections.abc import Callable
from collections.abc import Sequence
import time

from bronzeslip import ids
from bronzeslip.routing import deadly_parts

_INTERVAL_S = 2
# Crashes within one interval count as one: engines that fail together, as with
# a rack, say little about the prompts that they held.
_MAX_CRASH_PERIODS = 3


class QuarantineTrials:
    """Allows single requests with quarantined parts to run.

    Parts that were in the prompts of two unrelated crashes would otherwise stay
    quarantined, since no request with them runs that could prove them sound. In
    each interval one gateway lets one request run, until the crashes are spread
    over too many intervals to be unrelated.
    """

    def __init__(
        self,
        is_chosen: Callable[[str], bool],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates trials.

        Args:
            is_chosen: Whether this gateway is chosen for a key among all.
            wall_clock: Wall clock, in seconds.
        """
        self._is_chosen = is_chosen
        self._wall_clock = wall_clock
        self._last_interval: dict[deadly_parts.PartSet, int] = {}

    def are_left(self, crash_times_unix_s: Sequence[int]) -> bool:
        """Returns whether any gateway may still try a request.

        Args:
            crash_times_unix_s: Times of the crashes, in order.
        """
        periods = 0
        period_end_unix_s = 0
        for crashed_unix_s in crash_times_unix_s:
            if crashed_unix_s >= period_end_unix_s:
                periods += 1
                period_end_unix_s = crashed_unix_s + _INTERVAL_S
        return periods < _MAX_CRASH_PERIODS

    def take(
        self,
        deadly: deadly_parts.DeadlyParts,
        crash_times_unix_s: Sequence[int],
    ) -> bool:
        """Returns whether a request may run, and uses up the interval."""
        if not self.are_left(crash_times_unix_s):
            return False
        interval = int(self._wall_clock() // _INTERVAL_S)
        if self._last_interval.get(deadly.parts) == interval:
            return False
        if not self._is_chosen(_trial_key(deadly.parts, interval)):
            return False
        self._last_interval = {
            parts: used
            for parts, used in self._last_interval.items()
            if used == interval
        }
        self._last_interval[deadly.parts] = interval
        return True

    @property
    def interval_s(self) -> float:
        """Time between two trials, in seconds."""
        return float(_INTERVAL_S)


def _trial_key(parts: frozenset[ids.Fingerprint], interval: int) -> str:
    return f"{'/'.join(sorted(parts))}/{interval}"
