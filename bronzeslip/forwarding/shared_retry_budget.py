"""One gateway's part of the retry budget of a service."""

import collections
from collections.abc import Callable


class SharedRetryBudget:
    """Limits retries to permits earned by requests plus a share of the slack.

    Permits need no knowledge of the other gateways: each gateway earns them
    with its own requests, and they expire. The sum over any number of gateways
    therefore stays within the retry ratio of the service. The slack is a token
    bucket with this gateway's share of the tokens.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        started_s: float,
        initial_fraction: float,
    ) -> None:
        """Creates a budget without permits or slack.

        Args:
            clock: Clock, in seconds.
            started_s: Time from which slack accumulates.
            initial_fraction: Part of a permit that is already earned, from 0
                to 1. A random value keeps gateways that serve few requests
                from rounding down all their permits.
        """
        self._clock = clock
        self._fraction = initial_fraction
        self._expiry_times_s: collections.deque[float] = collections.deque()
        self._slack = 0.0
        self._slack_updated_s = started_s
        self._is_slack_usable = False
        self._is_filled = False
        # Tokens consumed before the bucket was filled for the first time.
        self._used = 0

    def add_request(self, ratio: float, lifetime_s: float) -> None:
        """Earns a fraction of a permit.

        Args:
            ratio: Permits per request.
            lifetime_s: Time for which a completed permit is valid, in seconds.
        """
        self._fraction += ratio
        while self._fraction >= 1:
            self._fraction -= 1
            self._expiry_times_s.append(self._clock() + lifetime_s)

    def refill_slack(
        self, capacity: float, refill: float, window_s: float
    ) -> None:
        """Adds the slack for the elapsed time, up to a capacity.

        The bucket is filled within the first window. By then, the retries of a
        process that ran on this VM before are no longer in the window.

        Args:
            capacity: Maximum number of slack tokens, or 0 if no slack may be
                used for now.
            refill: Tokens that are added per window afterwards.
            window_s: Length of a window, in seconds.
        """
        self._is_slack_usable = capacity > 0
        if not self._is_slack_usable:
            return
        now_s = self._clock()
        windows = (now_s - self._slack_updated_s) / window_s
        if not self._is_filled:
            self._slack = max(capacity * min(windows, 1.0) - self._used, 0.0)
            self._is_filled = windows >= 1
            if not self._is_filled:
                return
        else:
            self._slack = min(self._slack + refill * windows, capacity)
        self._slack_updated_s = now_s

    def take(self, kept_slack: float = 0.0) -> bool:
        """Consumes one retry if available; returns whether it was.

        Args:
            kept_slack: Slack tokens that are left for more important retries.
        """
        now_s = self._clock()
        while self._expiry_times_s and self._expiry_times_s[0] <= now_s:
            self._expiry_times_s.popleft()
        if self._expiry_times_s:
            self._expiry_times_s.popleft()
            return True
        if self._is_slack_usable and self._slack >= 1 + kept_slack:
            self._slack -= 1
            self._used += not self._is_filled
            return True
        return False
