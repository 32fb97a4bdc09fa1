"""Placements of generations that reports do not show yet."""

from collections.abc import Callable
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.load import placement

# A gateway that places a request sends it at once. An engine that has not
# reported the request after this time has ended it, or never received it.
_MAX_AGE_S = 10.0
# Allowance for the time until the request reaches its engine. Too long, it
# keeps an entry for one report more; too short, it forgets a request that is on
# its way. Not measured.
_DELIVERY_S = 0.2


class PlacementLedger:
    """Keeps the placements of all gateways that this gateway knows of.

    A placement ends when a report shows the request, when a report that must
    show it has nothing waiting, when the request's gateway states its end, or
    after a maximum age. A request has at most one placement.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates an empty ledger.

        Args:
            clock: Clock of the event loop, in seconds.
        """
        self._clock = clock
        # In the order of their addition, which is that of their age.
        self._placements: dict[ids.RequestId, placement.Placement] = {}
        self._by_endpoint: dict[
            ids.EndpointId, dict[ids.RequestId, placement.Placement]
        ] = {}

    def __len__(self) -> int:
        """Returns the number of placements."""
        self._expire()
        return len(self._placements)

    def add(self, placed: placement.Placement) -> None:
        """Adds a placement in place of an earlier one of the same request."""
        self.end(placed.request_id)
        self._expire()
        self._placements[placed.request_id] = placed
        at_endpoint = self._by_endpoint.setdefault(placed.endpoint_id, {})
        at_endpoint[placed.request_id] = placed

    def end(self, request_id: ids.RequestId) -> None:
        """Ends the placement of a request, if there is one."""
        ended = self._placements.pop(request_id, None)
        if ended is None:
            return
        at_endpoint = self._by_endpoint[ended.endpoint_id]
        del at_endpoint[request_id]
        if not at_endpoint:
            del self._by_endpoint[ended.endpoint_id]

    def sent_since(
        self, endpoint_id: ids.EndpointId, time_s: float
    ) -> tuple[in_flight_requests.InFlightRequest, ...]:
        """Returns the requests placed at an endpoint after a time."""
        self._expire()
        return tuple(
            in_flight_requests.InFlightRequest(
                placed.placed_s,
                placed.prompt_tokens,
                placed.expected_tokens,
                placed.is_long,
                placed.request_id,
            )
            for placed in self._by_endpoint.get(endpoint_id, {}).values()
            if placed.placed_s > time_s
        )

    def apply_report(
        self, endpoint_id: ids.EndpointId, dated: report_cache.DatedReport
    ) -> None:
        """Ends the placements that a report of an engine settles."""
        running = {run.request_id for run in dated.report.runs}
        is_queue_empty = dated.report.waiting == 0
        settled_before_s = dated.state_s - _DELIVERY_S
        placements = self._by_endpoint.get(endpoint_id, {})
        for placed in tuple(placements.values()):
            is_over = is_queue_empty and placed.placed_s < settled_before_s
            if placed.request_id in running or is_over:
                self.end(placed.request_id)

    def remove(self, gone: endpoint.Endpoint) -> None:
        """Ends the placements at an incarnation that is gone."""
        for request_id in tuple(self._by_endpoint.get(gone.endpoint_id, ())):
            self.end(request_id)

    def _expire(self) -> None:
        oldest_s = self._clock() - _MAX_AGE_S
        while self._placements:
            oldest = next(iter(self._placements.values()))
            if oldest.placed_s > oldest_s:
                return
            self.end(oldest.request_id)
