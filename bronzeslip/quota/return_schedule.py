"""Distinct times at which those who were turned away come back."""

# Limits how long permits go unused if those who were told to wait do not come
# back.
_MAX_SPREAD_S = 10.0


class ReturnSchedule:
    """Spreads returns over time, one for each permit that will be available."""

    def __init__(self) -> None:
        self._last_s = 0.0

    def next_delay_s(
        self, earliest_s: float, interval_s: float, now_s: float
    ) -> float:
        """Returns how long the next one has to wait, in seconds.

        Args:
            earliest_s: Time until the next permit, in seconds.
            interval_s: Time between permits, in seconds.
            now_s: Current time on a monotonic clock, in seconds.
        """
        first_s = now_s + earliest_s
        next_s = max(first_s, self._last_s + interval_s)
        self._last_s = min(next_s, first_s + _MAX_SPREAD_S)
        return self._last_s - now_s
