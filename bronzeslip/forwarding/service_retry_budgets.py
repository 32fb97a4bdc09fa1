"""Retry budgets by service, as shares of limits on all gateways."""

from collections.abc import Callable
import random
import time

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import gateway_count
from bronzeslip.forwarding import shared_retry_budget

# Share of the slack, that is, the retries allowed beyond the retry ratio, which
# is used, since gateways count requests slightly later than endpoints do.
_USED_SHARE = 0.9
# Share of it that may be used in one burst. The rest is added over time, so
# that no window of the limit exceeds the full slack.
_BURST_SHARE = 0.8
# Lifetime of a permit in windows of the limit. A window then contains permits
# earned in one and a half windows, so each request earns two thirds of what
# one window allows.
_PERMIT_LIFETIME_WINDOWS = 0.5
_PERMIT_SHARE = 1 / (1 + _PERMIT_LIFETIME_WINDOWS)


class ServiceRetryBudgets:
    """Limits this gateway to its share of the retries of all gateways."""

    def __init__(
        self,
        bounds: vm_config.PlaceBounds,
        gateways: gateway_count.GatewayCount,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the budgets.

        Args:
            bounds: Limits on the retries of all gateways together.
            gateways: Determines this gateway's share of the slack.
            rng: Source of the initial fractions of permits.
            clock: Clock, in seconds.
        """
        self._bounds = bounds
        self._gateways = gateways
        self._rng = rng
        self._clock = clock
        self._started_s = clock()
        self._budgets: dict[
            ids.ServiceName, shared_retry_budget.SharedRetryBudget
        ] = {}

    def set_bounds(self, bounds: vm_config.PlaceBounds) -> None:
        """Replaces the limits."""
        self._bounds = bounds

    def count_request(
        self, service_name: ids.ServiceName
    ) -> shared_retry_budget.SharedRetryBudget:
        """Counts a request and returns the budget for its retries."""
        budget = self.of_service(service_name)
        budget.add_request(
            self._bounds.retry_ratio * _PERMIT_SHARE,
            self._bounds.retry_window_s * _PERMIT_LIFETIME_WINDOWS,
        )
        return budget

    def of_service(
        self, service_name: ids.ServiceName
    ) -> shared_retry_budget.SharedRetryBudget:
        """Returns the budget of a service, refilled for the elapsed time."""
        budget = self._budgets.get(service_name)
        if budget is None:
            budget = shared_retry_budget.SharedRetryBudget(
                self._clock, self._started_s, self._rng.random()
            )
            self._budgets[service_name] = budget
        burst = self._bounds.retry_slack * _USED_SHARE * _BURST_SHARE
        capacity = self._gateways.share_of(burst)
        budget.refill_slack(
            capacity,
            capacity * (1 - _BURST_SHARE) / _BURST_SHARE,
            self._bounds.retry_window_s,
        )
        return budget
