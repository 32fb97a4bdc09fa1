"""Load of engines as known to the coordinator of their placements."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import operator
import time

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from bronzeslip.placement import placed_requests
from bronzeslip.routes import engine_traits
from bronzeslip.settings import entry

# Share of the prefill rate of an idle engine that remains while it also
# decodes: about 7,000 of 14,000 tokens per second were measured.
_DECODING_PREFILL_SHARE = 0.5
# Average share of the prompt that is still to be processed in a run that has
# not generated an event.
_PENDING_PREFILL_SHARE = 0.5
# Weight of a new prompt in the moving average of prompt lengths.
_MEAN_PROMPT_WEIGHT = 0.05


class EngineView:
    """Combines the reports of engines with the placements made since.

    The clock is that of the event loop, which reports are dated by.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        reports: report_cache.ReportCache,
        ledger: placement_ledger.PlacementLedger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a view without placements.

        Args:
            settings: Prefill rate of the engines.
            reports: Latest reports of the engines.
            ledger: Placements that no report shows yet.
            clock: Clock of the event loop, in seconds.
        """
        self._settings = settings
        self._reports = reports
        self._ledger = ledger
        self._clock = clock
        self._placed = placed_requests.PlacedRequests(clock)
        self._mean_prompt_tokens = 0.0
        reports.add_listener(ledger.apply_report)

    def add(self, placed: placement.Placement) -> None:
        """Adds a placement in place of an earlier one of the same request."""
        self._ledger.add(placed)
        self._placed.add(placed)
        mean = self._mean_prompt_tokens or placed.prompt_tokens
        mean += _MEAN_PROMPT_WEIGHT * (placed.prompt_tokens - mean)
        self._mean_prompt_tokens = mean

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
        latest = self._reports.get(candidate.endpoint_id)
        pending = self._pending(candidate)
        requests = len(pending) + self._unknown_waiting(latest, pending) + 1
        if latest is not None:
            requests += latest.report.running
        tokens = self.used_tokens(candidate) + need.expected_tokens
        return load_forecast.EndpointForecast(
            slot_load=requests / max(candidate.slots, 1),
            memory_use=tokens / max(traits.memory_tokens, 1),
            prefill_s=self._backlog_tokens(latest, pending)
            / self._prefill_rate_per_s(latest, pending),
        )

    def prefill_s(
        self,
        candidate: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
    ) -> float:
        """Returns the time to process the prompt of a generation alone."""
        return need.prompt_tokens / self._prefill_rate_per_s(
            self._reports.get(candidate.endpoint_id), self._pending(candidate)
        )

    def used_tokens(self, engine: endpoint.Endpoint) -> int:
        """Returns the memory in use and of placements to come, in tokens."""
        latest = self._reports.get(engine.endpoint_id)
        used_tokens = 0 if latest is None else latest.report.used_tokens
        return used_tokens + sum(
            request.expected_tokens for request in self._pending(engine)
        )

    def free_tokens(
        self, engine: endpoint.Endpoint, traits: engine_traits.EngineTraits
    ) -> int:
        """Returns the memory left once all requests have their full size.

        Copies that the engine holds count as used.
        """
        used_tokens = self.used_tokens(engine)
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

    def _pending(
        self, engine: endpoint.Endpoint
    ) -> tuple[in_flight_requests.InFlightRequest, ...]:
        return self._ledger.sent_since(engine.endpoint_id, -math.inf)

    def _expected_tokens(self, request_id: ids.RequestId) -> int:
        placed = self._placed.get(request_id)
        return 0 if placed is None else placed.expected_tokens

    def _prompt_tokens(self, request_id: ids.RequestId) -> float:
        placed = self._placed.get(request_id)
        if placed is None:
            return self._mean_prompt_tokens
        return placed.prompt_tokens

    def _unknown_waiting(
        self,
        latest: report_cache.DatedReport | None,
        pending: Iterable[in_flight_requests.InFlightRequest],
    ) -> int:
        """Returns the waiting requests that are no placements."""
        if latest is None:
            return 0
        known = sum(request.sent_s <= latest.state_s for request in pending)
        return max(latest.report.waiting - known, 0)

    def _prefill_rate_per_s(
        self,
        latest: report_cache.DatedReport | None,
        pending: tuple[in_flight_requests.InFlightRequest, ...],
    ) -> float:
        """Returns the prompt tokens that an engine processes per second."""
        rate_per_s = self._settings.prefill_tokens_per_s
        if pending or (latest is not None and latest.report.running):
            return rate_per_s * _DECODING_PREFILL_SHARE
        return rate_per_s

    def _backlog_tokens(
        self,
        latest: report_cache.DatedReport | None,
        pending: tuple[in_flight_requests.InFlightRequest, ...],
    ) -> float:
        """Returns the prompt tokens that are still to be processed now.

        The engine has processed prompts since its report. Those that were
        placed later count from their placement on.
        """
        now_s = self._clock()
        time_s = now_s if latest is None else min(latest.state_s, now_s)
        if latest is None and pending:
            time_s = min(request.sent_s for request in pending)
        backlog = self._reported_backlog_tokens(latest, pending)
        rate_per_s = self._prefill_rate_per_s(latest, pending)
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
            self._prompt_tokens(run.request_id)
            for run in latest.report.runs
            if not run.events
        )
        waiting = self._unknown_waiting(latest, pending)
        return (
            waiting * self._mean_prompt_tokens
            + prefilling_tokens * _PENDING_PREFILL_SHARE
        )
