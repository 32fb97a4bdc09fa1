"""Retry budget of one service."""

_RESERVE_RETRIES = 50.0


class RetryBudget:
    """Limits retries to a ratio of requests plus a reserve.

    Each request adds the ratio to the budget and each retry consumes one. The
    reserve allows retries for services with little traffic and limits how many
    retries accumulate while few are needed.
    """

    def __init__(self) -> None:
        self._reserve = _RESERVE_RETRIES
        self._remaining = self._reserve

    def set_reserve(self, reserve: float) -> None:
        """Sets the maximum number of retries that can accumulate."""
        self._reserve = reserve
        self._remaining = min(self._remaining, reserve)

    def add_request(self, ratio: float) -> None:
        """Adds the retries earned by one request to the budget.

        Args:
            ratio: Allowed retries per request.
        """
        self.add(ratio)

    def add(self, retries: float) -> None:
        """Adds retries to the budget, up to the reserve."""
        self._remaining = min(self._remaining + retries, self._reserve)

    def take(self) -> bool:
        """Consumes one retry if available; returns whether it was."""
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True
