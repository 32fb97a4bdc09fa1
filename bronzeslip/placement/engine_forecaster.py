"""Forecasts the load of engines for the coordinator of their placements."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import operator
import time

from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from bronzeslip.placement import engine_forecast
from bronzeslip.placement import placed_requests
from bronzeslip.routes import engine_traits
from bronzeslip.settings import entry

# Share of the prefill rate of an idle engine that remains while it also
# decodes: about 7,000 of 14,000 tokens per second were measured.
_DECODING_PREFILL_SHARE = 0.5
# Average share of the prompt that is still to be processed in a run that has
# not generated an event.
_PENDING_PREFILL_SHARE = 0.5


class EngineForecaster:
    """Adds the placements that no report shows to the reports of engines."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        reports: report_cache.ReportCache,
        ledger: placement_ledger.PlacementLedger,
        placed: placed_requests.PlacedRequests,
        pace_of: Callable[[endpoint.Endpoint], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the forecaster.

        Args:
            settings: Prefill rate of the engines.
            reports: Latest reports of the engines.
            ledger: Placements that no report shows yet.
            placed: Sizes of the placed requests.
            pace_of: Returns how long work takes at an engine, 1.0 being normal.
            clock: Clock of the event loop, in seconds.
        """
        self._settings = settings
        self._reports = reports
        self._ledger = ledger
        self._placed = placed
        self._pace_of = pace_of
        self._clock = clock

    def forecast_need(
        self,
        candidate: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
    ) -> engine_forecast.EngineForecast:
        """Returns the load of an engine if it receives a generation."""
        latest = self._reports.get(candidate.endpoint_id)
        pending = self._pending(candidate)
        requests = len(pending) + _unknown_waiting(latest, pending) + 1
        if latest is not None:
            requests += latest.report.running
        tokens = self.used_tokens(candidate) + need.expected_tokens
        pace = self._pace_of(candidate)
        rate_per_s = self._prefill_rate_per_s(latest, pending) / pace
        return engine_forecast.EngineForecast(
            slot_load=requests / max(candidate.slots, 1),
            memory_use=tokens / max(traits.memory_tokens, 1),
            prefill_s=self._backlog_tokens(latest, pending, rate_per_s)
            / rate_per_s,
            own_prefill_s=need.prompt_tokens / rate_per_s,
            pace=pace,
        )

    def used_tokens(self, engine: endpoint.Endpoint) -> int:
        """Returns the memory in use and of placements to come, in tokens."""
        latest = self._reports.get(engine.endpoint_id)
        used_tokens = 0 if latest is None else latest.report.used_tokens
        return used_tokens + sum(
            request.expected_tokens for request in self._pending(engine)
        )

    def _pending(
        self, engine: endpoint.Endpoint
    ) -> tuple[in_flight_requests.InFlightRequest, ...]:
        return self._ledger.sent_since(engine.endpoint_id, -math.inf)

    def _pending_prefill_tokens(self, run: report.RunReport) -> float:
        """Returns what is left of the prompt of a run without an event.

        The memory of a run shows its progress, unless the engine reserves the
        memory of the whole prompt at the start.
        """
        placed = self._placed.get(run.request_id)
        if placed is None:
            return self._placed.mean_prompt_tokens * _PENDING_PREFILL_SHARE
        if run.memory_tokens < placed.prompt_tokens:
            return placed.prompt_tokens - run.memory_tokens
        return placed.prompt_tokens * _PENDING_PREFILL_SHARE

    def _prefill_rate_per_s(
        self,
        latest: report_cache.DatedReport | None,
        pending: tuple[in_flight_requests.InFlightRequest, ...],
    ) -> float:
        """Returns the prompt tokens per second at the normal pace."""
        rate_per_s = self._settings.prefill_tokens_per_s
        if pending or (latest is not None and latest.report.running):
            return rate_per_s * _DECODING_PREFILL_SHARE
        return rate_per_s

    def _backlog_tokens(
        self,
        latest: report_cache.DatedReport | None,
        pending: tuple[in_flight_requests.InFlightRequest, ...],
        rate_per_s: float,
    ) -> float:
        """Returns the prompt tokens that are still to be processed now.

        The engine has processed prompts since its report. Those that were
        placed later count from their placement on.
        """
        now_s = self._clock()
        time_s = -math.inf if latest is None else latest.state_s
        backlog = self._reported_backlog_tokens(latest, pending)
        for request in sorted(pending, key=operator.attrgetter("sent_s")):
            elapsed_s = max(request.sent_s - time_s, 0.0)
            backlog = max(backlog - elapsed_s * rate_per_s, 0.0)
            backlog += request.prompt_tokens
            time_s = max(request.sent_s, time_s)
        return max(backlog - max(now_s - time_s, 0.0) * rate_per_s, 0.0)

    def _reported_backlog_tokens(
        self,
        latest: report_cache.DatedReport | None,
        pending: Iterable[in_flight_requests.InFlightRequest],
    ) -> float:
        """Returns the backlog when the report was made, except placements."""
        if latest is None:
            return 0.0
        prefilling_tokens = sum(
            self._pending_prefill_tokens(run)
            for run in latest.report.runs
            if not run.events
        )
        waiting = _unknown_waiting(latest, pending)
        return waiting * self._placed.mean_prompt_tokens + prefilling_tokens


def _unknown_waiting(
    latest: report_cache.DatedReport | None,
    pending: Iterable[in_flight_requests.InFlightRequest],
) -> int:
    """Returns the waiting requests that are no placements."""
    if latest is None:
        return 0
    known = sum(request.sent_s <= latest.state_s for request in pending)
    return max(latest.report.waiting - known, 0)
