"""Retry budgets by service at one gateway."""

import random

from bronzeslip import ids
from bronzeslip.configuration import service
from bronzeslip.routing import retry_budget
from bronzeslip.routing import retry_plan
from bronzeslip.settings import gateway


class RetryBudgets:
    """Maintains one retry budget per service at this gateway."""

    def __init__(
        self, settings: gateway.GatewaySettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}

    def plan(
        self,
        service_name: ids.ServiceName,
        service_config: service.Service,
        deadline_s: float,
    ) -> retry_plan.RetryPlan:
        """Adds a request to the service's budget and returns its retry plan."""
        budget = self._budgets.setdefault(
            service_name, retry_budget.RetryBudget()
        )
        budget.add_request(service_config.retry_budget_ratio)
        return retry_plan.RetryPlan(
            budget, self._settings.dispatch_attempts, deadline_s, self._rng
        )
