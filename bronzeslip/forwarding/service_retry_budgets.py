"""Retry budgets by service, as shares of limits on all gateways."""

import asyncio
from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.routing import retry_budget

# Share of the limits that is used, since gateways count requests slightly later
# than the endpoints receive them.
_USED_SHARE = 0.8
# Share of the slack, that is, the retries allowed beyond the retry ratio, that
# may be used in one burst. The rest is added over time, so that no window of
# the limit exceeds the full slack.
_BURST_SHARE = 0.5


class ServiceRetryBudgets:
    """Limits this gateway to its share of the retries of all gateways."""

    def __init__(
        self, bounds: vm_config.PlaceBounds, gateway_count: Callable[[], int]
    ) -> None:
        """Initializes the budgets.

        Args:
            bounds: Limits on the retries of all gateways together.
            gateway_count: Returns the number of running gateways.
        """
        self._bounds = bounds
        self._gateway_count = gateway_count
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}
        self._last_refill_s: dict[ids.ServiceName, float] = {}

    def set_bounds(self, bounds: vm_config.PlaceBounds) -> None:
        """Replaces the limits."""
        self._bounds = bounds

    def count_request(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Counts a request and returns the budget for its retries."""
        budget = self.of_service(service_name)
        budget.add_request(self._bounds.retry_ratio * _USED_SHARE)
        return budget

    def of_service(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Returns the budget of a service, refilled for the elapsed time."""
        now_s = asyncio.get_running_loop().time()
        budget = self._budgets.setdefault(
            service_name, retry_budget.RetryBudget()
        )
        slack = self._bounds.retry_slack * _USED_SHARE / self._gateway_count()
        budget.set_reserve(max(slack * _BURST_SHARE, 1.0))
        elapsed_s = now_s - self._last_refill_s.get(service_name, now_s)
        self._last_refill_s[service_name] = now_s
        refill = slack * (1 - _BURST_SHARE)
        budget.add(refill * elapsed_s / self._bounds.retry_window_s)
        return budget
