"""Budget of retries of one service."""

_RESERVE_RETRIES = 50.0


class RetryBudget:
    """Allows retries as a share of requests, and a few besides.

    Each request adds the ratio to the budget and each retry takes one from
    it. The reserve lets a service with little traffic retry and bounds how
    much a quiet time saves up.
    """

    def __init__(self) -> None:
        self._left = _RESERVE_RETRIES

    def add_request(self, ratio: float) -> None:
        """Counts a request.

        Args:
            ratio: Retries allowed as a share of requests.
        """
        self._left = min(self._left + ratio, _RESERVE_RETRIES)

    def take(self) -> bool:
        """Takes one retry from the budget, if there is one left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
