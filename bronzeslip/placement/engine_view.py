"""Load of engines as known to the coordinator of their placements."""

from collections.abc import Callable
import math
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from bronzeslip.routes import engine_traits

# Part of the growth of all running generations that their memory reaches at the
# same time. They start at different times, so about half have ended when the
# others have their full size.
_CONCURRENT_GROWTH_SHARE = 0.5


class EngineView:
    """Combines the reports of engines with the placements made since.

    The clock is that of the event loop, which reports are dated by.
    """

    def __init__(
        self,
        load_forecaster: load_forecast.LoadForecaster,
        reports: report_cache.ReportCache,
        ledger: placement_ledger.PlacementLedger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a view without placements.

        Args:
            load_forecaster: Forecasts with the same reports and placements.
            reports: Latest reports of the engines.
            ledger: Placements that no report shows yet.
            clock: Clock of the event loop, in seconds.
        """
        self._load_forecaster = load_forecaster
        self._reports = reports
        self._ledger = ledger
        self._clock = clock
        self._placed = load_forecaster.placed_requests

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

    def forecast_need(
        self,
        candidate: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
    ) -> load_forecast.EndpointForecast:
        """Returns the load of an engine if it receives a generation."""
        return self._load_forecaster.forecast_need(candidate, need, traits)

    def used_tokens(self, engine: endpoint.Endpoint) -> int:
        """Returns the memory in use and of placements to come, in tokens."""
        return self._load_forecaster.used_tokens(engine)

    def free_tokens(
        self,
        engine: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
        forecast: load_forecast.EndpointForecast | None = None,
    ) -> int:
        """Returns the memory that is left for a generation, in tokens.

        A short generation ends before the others have grown. A long one lives
        beside them, but some end while others still grow.

        Args:
            engine: The engine.
            need: Size of the generation.
            traits: Capacity of each engine of the service.
            forecast: Forecast for the same need; computed if None.
        """
        latest = self._reports.get(engine.endpoint_id)
        if forecast is None:
            forecast = self.forecast_need(engine, need, traits)
        # The used memory includes copies that the engine holds.
        used_tokens = forecast.used_tokens
        if latest is None:
            return traits.memory_tokens - used_tokens
        capacity_tokens = latest.report.memory_tokens or traits.memory_tokens
        free_tokens = capacity_tokens - used_tokens
        if not need.is_long:
            return free_tokens
        growth_tokens = sum(
            max(self._expected_tokens(run.request_id) - run.memory_tokens, 0)
            for run in latest.report.runs
        )
        return free_tokens - round(_CONCURRENT_GROWTH_SHARE * growth_tokens)

    def _expected_tokens(self, request_id: ids.RequestId) -> int:
        placed = self._placed.get(request_id)
        return 0 if placed is None else placed.expected_tokens
