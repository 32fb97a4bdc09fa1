"""Budgets of sendings after the first, by service."""

import asyncio
from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.routing import retry_budget

# Part of the bounds that is used, since gateways count their requests a little
# later than the endpoints see them.
_USED_SHARE = 0.8
# Share of the slack that may be used at once; the rest comes with time, so
# that no window of the rule gets more than the whole.
_BURST_SHARE = 0.5


class ServiceRetryBudgets:
    """Gives this gateway its share of the repeats that all may make."""

    def __init__(
        self, bounds: vm_config.PlaceBounds, gateway_count: Callable[[], int]
    ) -> None:
        """Creates budgets.

        Args:
            bounds: Repeats that all gateways together may make.
            gateway_count: Tells how many gateways there are.
        """
        self._bounds = bounds
        self._gateway_count = gateway_count
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}
        self._refilled_s: dict[ids.ServiceName, float] = {}

    def set_bounds(self, bounds: vm_config.PlaceBounds) -> None:
        """Takes over changed bounds."""
        self._bounds = bounds

    def count_request(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Counts a request; returns the budget for its repeats."""
        budget = self.of_service(service_name)
        budget.add_request(self._bounds.retry_ratio * _USED_SHARE)
        return budget

    def of_service(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Returns the budget of a service, filled up to now."""
        now_s = asyncio.get_running_loop().time()
        budget = self._budgets.setdefault(
            service_name, retry_budget.RetryBudget()
        )
        slack = self._bounds.retry_slack * _USED_SHARE / self._gateway_count()
        budget.set_reserve(max(slack * _BURST_SHARE, 1.0))
        elapsed_s = now_s - self._refilled_s.get(service_name, now_s)
        self._refilled_s[service_name] = now_s
        refill = slack * (1 - _BURST_SHARE)
        budget.add(refill * elapsed_s / self._bounds.retry_window_s)
        return budget
