"""Budget of retries of one service."""

_RESERVE_RETRIES = 50.0


class RetryBudget:
    """Allows retries as a share of requests, and a few besides.

    Each request adds the ratio to the budget and each retry takes one from
    it. The reserve lets a service with little traffic retry and bounds how
    much a quiet time saves up.
    """

    def __init__(self) -> None:
        self._reserve = _RESERVE_RETRIES
        self._remaining = self._reserve

    def set_reserve(self, reserve: float) -> None:
        """Sets how many retries a quiet time saves up at most."""
        self._reserve = reserve
        self._remaining = min(self._remaining, reserve)

    def add_request(self, ratio: float) -> None:
        """Counts a request.

        Args:
            ratio: Retries allowed as a share of requests.
        """
        self.add(ratio)

    def add(self, retries: float) -> None:
        """Adds retries, up to the reserve."""
        self._remaining = min(self._remaining + retries, self._reserve)

    def take(self) -> bool:
        """Takes one retry from the budget, if there is one left."""
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True
