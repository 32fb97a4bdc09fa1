"""Budgets of sendings after the first, by service."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.entry import place
from bronzeslip.routing import retry_budget

# Part of the bound that is used, since the windows of the rule slide and
# calls that are under way when a window begins count in it.
_USED_PART = 0.7


class RepeatBudgets:
    """Gives this gateway its share of the repeats that all may make."""

    def __init__(
        self, bounds: place.PlaceBounds, gateway_count: Callable[[], int]
    ) -> None:
        """Creates budgets.

        Args:
            bounds: Repeats that all gateways together may make.
            gateway_count: Tells how many gateways there are.
        """
        self._bounds = bounds
        self._gateway_count = gateway_count
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}

    def count_request(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Counts a request; returns the budget for its repeats."""
        budget = self.of_service(service_name)
        budget.set_reserve(
            self._bounds.retry_slack * _USED_PART / self._gateway_count()
        )
        budget.add_request(self._bounds.retry_ratio * _USED_PART)
        return budget

    def of_service(
        self, service_name: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Returns the budget of a service."""
        return self._budgets.setdefault(
            service_name, retry_budget.RetryBudget()
        )
