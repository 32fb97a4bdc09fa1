"""Forecast of the time for which a generation waits behind others."""

from bronzeslip.placement import client_patience
from bronzeslip.placement import placement_rate
from bronzeslip.placement import waiting_request
from bronzeslip.placement import waiting_requests


class BacklogForecast:
    """Compares the waiting requests with the rate at which they are placed.

    Requests that can be in time and late ones are counted separately, because
    the former overtake the latter.
    """

    def __init__(self, waiting: waiting_requests.WaitingRequests) -> None:
        """Creates a forecast.

        Args:
            waiting: The waiting requests of the shard.
        """
        self._waiting = waiting
        self._rates = {
            can_be_in_time: placement_rate.PlacementRate()
            for can_be_in_time in (True, False)
        }

    def refresh(self, now_s: float) -> None:
        """Records which groups of requests wait."""
        for can_be_in_time, rate in self._rates.items():
            count = self._waiting.count(can_be_in_time)
            rate.record_waiting(count > 0, now_s)

    def record_placed(
        self, placed: waiting_request.WaitingRequest, now_s: float
    ) -> None:
        """Records that a request was placed."""
        self._rates[placed.can_be_in_time].record_placed(
            placed.ask.expected_tokens, now_s
        )

    def overrun_s(
        self,
        waiting: waiting_request.WaitingRequest,
        least_wait_s: float,
        now_s: float,
    ) -> float:
        """Returns by how much a request would miss its client's patience.

        Args:
            waiting: The request.
            least_wait_s: Time to its first token if it were placed, in seconds.
            now_s: Current time on a monotonic clock, in seconds.

        Returns:
            The time in seconds, above 0 if it can neither be in time nor start
            before its client gives up.
        """
        ask = waiting.ask
        tokens = self._tokens_ahead(waiting)
        left_s = client_patience.remaining_s(ask)
        patience_s = ask.waited_s + left_s
        if waiting.can_be_in_time:
            wait_s = self._rates[True].wait_s(
                tokens[True], patience_s, 0.0, now_s
            )
            if wait_s + least_wait_s <= ask.objective_left_s:
                return 0.0
        # Late requests may be held back until they are overdue.
        settling_s = ask.waited_s + client_patience.overdue_in_s(ask)
        wait_s = self._rates[False].wait_s(
            tokens[False], patience_s, settling_s, now_s
        )
        return wait_s + least_wait_s - left_s

    def _tokens_ahead(
        self, waiting: waiting_request.WaitingRequest
    ) -> dict[bool, int]:
        """Returns the tokens ahead by whether their request can be in time.

        A request that can be in time is behind all late ones once it is late.
        """
        tokens = {True: 0, False: 0}
        for other in self._waiting.ahead_of(waiting.once_late):
            is_ahead = (
                not other.can_be_in_time or other.position < waiting.position
            )
            tokens[other.can_be_in_time] += is_ahead * other.ask.expected_tokens
        return tokens
