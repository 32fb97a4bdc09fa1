"""Permits for the requests to one endpoint."""

from bronzeslip.quota import return_schedule

# Two coordinators may be active at once, one of them at half the rate. Their
# bursts have to fit into what gateways may exceed a limit by.
_CAPACITY = 2.5
# Absorbs rounding, so that a permit is available after the promised time.
_TOLERANCE = 1e-6


class PermitBucket:
    """Token bucket that is empty at first.

    The gateway that coordinated the endpoint before, or a process that ran on
    this VM before, may just have granted permits.
    """

    def __init__(self, now_s: float) -> None:
        """Creates a bucket.

        Args:
            now_s: Current time on a monotonic clock, in seconds.
        """
        self._available = 0.0
        self._refilled_s = now_s
        self._returns = return_schedule.ReturnSchedule()

    def take(self, rate_per_s: float, reserved: float, now_s: float) -> float:
        """Takes a permit if one is available.

        Args:
            rate_per_s: Permits per second, above 0.
            reserved: Permits to leave for more important requests, from 0 to
                1.
            now_s: Current time on a monotonic clock, in seconds.

        Returns:
            0 if a permit was taken, otherwise the time to wait, in seconds.
        """
        refill = (now_s - self._refilled_s) * rate_per_s
        self._available = min(self._available + refill, _CAPACITY)
        self._refilled_s = now_s
        missing = 1 + reserved - self._available
        if missing <= _TOLERANCE:
            self._available -= 1
            return 0.0
        return self._returns.next_delay_s(
            missing / rate_per_s, 1 / rate_per_s, now_s
        )
