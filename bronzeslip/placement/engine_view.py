"""Placements on engines as known to their coordinator."""

from collections.abc import Callable
import math
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report_cache
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from bronzeslip.placement import engine_forecaster
from bronzeslip.placement import placed_requests
from bronzeslip.routes import engine_traits


class EngineView:
    """Records placements and tells how much memory they leave."""

    def __init__(
        self,
        reports: report_cache.ReportCache,
        ledger: placement_ledger.PlacementLedger,
        placed: placed_requests.PlacedRequests,
        forecaster: engine_forecaster.EngineForecaster,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the view.

        Args:
            reports: Latest reports of the engines.
            ledger: Placements that no report shows yet.
            placed: Sizes of the placed requests.
            forecaster: Forecasts the memory in use.
            clock: Clock of the event loop, in seconds.
        """
        self._reports = reports
        self._ledger = ledger
        self._placed = placed
        self._forecaster = forecaster
        self._clock = clock

    def add(self, placed: placement.Placement) -> None:
        """Adds a placement in place of an earlier one of the same request."""
        self._ledger.add(placed)
        self._placed.add(placed)

    def end(self, request_id: ids.RequestId) -> None:
        """Removes the placement of a request."""
        self._ledger.end(request_id)
        self._placed.remove(request_id)

    def report_age_s(self, engine: endpoint.Endpoint) -> float:
        """Returns the time since an engine's report was received, in seconds.

        It is infinite without a report.
        """
        latest = self._reports.get(engine.endpoint_id)
        return math.inf if latest is None else self._clock() - latest.read_s

    def free_tokens(
        self, engine: endpoint.Endpoint, traits: engine_traits.EngineTraits
    ) -> int:
        """Returns the memory left once all requests have their full size.

        Copies that the engine holds count as used.
        """
        used_tokens = self._forecaster.used_tokens(engine)
        latest = self._reports.get(engine.endpoint_id)
        if latest is None:
            return traits.memory_tokens - used_tokens
        growth_tokens = sum(
            max(self._expected_tokens(run.request_id) - run.memory_tokens, 0)
            for run in latest.report.runs
        )
        capacity_tokens = latest.report.memory_tokens or traits.memory_tokens
        return (
            capacity_tokens
            - used_tokens
            - latest.report.held_tokens
            - growth_tokens
        )

    def _expected_tokens(self, request_id: ids.RequestId) -> int:
        placed = self._placed.get(request_id)
        return 0 if placed is None else placed.expected_tokens
