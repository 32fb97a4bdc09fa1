"""Trials of quarantined prompts that may be innocent."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import time

from bronzeslip import ids
from bronzeslip.routing import poison_parts

# Each trial comes this much later after the last crash than the one before.
_GROWTH = 4
_FIRST_TRIAL_S = 2.0
# Crashes within this time count as one: engines that fail together, as with a
# rack, say little about the prompts that they held.
_CRASH_PERIOD_S = 2
_MAX_CRASH_PERIODS = 3
_MAX_KEYS = 256


class QuarantineTrials:
    """Allows single requests with quarantined parts to run.

    Parts that were in the prompts of two unrelated crashes would otherwise stay
    quarantined, since no request with them runs that could prove them safe.
    For each trial one gateway is chosen. There are none once the crashes are
    spread over so much time that they can't be unrelated.
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
        self._last_keys: dict[poison_parts.PartSet, str] = {}

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
                period_end_unix_s = crashed_unix_s + _CRASH_PERIOD_S
        return periods < _MAX_CRASH_PERIODS

    def take(
        self,
        poison: poison_parts.PoisonParts,
        crash_times_unix_s: Sequence[int],
    ) -> bool:
        """Returns whether a request may run, and uses up the trial.

        Args:
            poison: Quarantined parts that the prompt holds.
            crash_times_unix_s: Times of the crashes, in order.
        """
        if not self.are_left(crash_times_unix_s):
            return False
        last_crash_unix_s = crash_times_unix_s[-1]
        elapsed_s = self._wall_clock() - last_crash_unix_s
        if elapsed_s < _FIRST_TRIAL_S:
            return False
        number = int(math.log(elapsed_s / _FIRST_TRIAL_S, _GROWTH))
        key = _trial_key(poison.parts, last_crash_unix_s, number)
        if self._last_keys.get(poison.parts) == key:
            return False
        if not self._is_chosen(key):
            return False
        self._last_keys[poison.parts] = key
        if len(self._last_keys) > _MAX_KEYS:
            del self._last_keys[next(iter(self._last_keys))]
        return True

    @property
    def retry_after_s(self) -> float:
        """Time until a refused request may be served, in seconds."""
        return _FIRST_TRIAL_S


def _trial_key(
    parts: frozenset[ids.Fingerprint], last_crash_unix_s: int, number: int
) -> str:
    return f"{'/'.join(sorted(parts))}/{last_crash_unix_s}/{number}"
