"""Forecasts the load of endpoints."""

import asyncio
from collections.abc import Callable
import math
import time

import msgspec

from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import admitted
from bronzeslip.load import engine_backlog
from bronzeslip.load import load_statement
from bronzeslip.load import load_statements
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from bronzeslip.placement import placed_requests
from bronzeslip.routes import engine_traits
from bronzeslip.settings import entry

# Shorter outputs are complete before a leaving engine terminates.
LONG_OUTPUT_TOKENS = 100
# Average share of the prompt that is still to be processed in a run that has
# not generated an event.
_PENDING_PREFILL_SHARE = 0.5
# Share of the prefill rate that remains while an engine also decodes: about
# 7,000 of 14,000 tokens per second were measured.
_DECODING_PREFILL_SHARE = 0.5
# The load of a plain service changes many times per second. An older statement
# tells less than the requests that this gateway has in flight itself.
_STATEMENT_MAX_AGE_S = 0.5


class EndpointForecast(msgspec.Struct, frozen=True):
    """Forecast load of an endpoint if it receives a request.

    Attributes:
        slot_load: Number of requests per slot.
        memory_use: Share of the memory in use; 0 for plain services.
        prefill_s: Time to process the queued prompts, in seconds.
        own_prefill_s: Time to process the prompt of the request, in seconds; 0
            in the choices of a single gateway where no endpoint of the service
            states its pace, since it is then the same at all of them.
        pace: How long work takes at the endpoint, 1.0 being normal.
        usual_pace: The same without passing disturbances.
        used_tokens: Memory in use and of the requests sent since the report,
            in tokens, without the request itself.
    """

    slot_load: float
    memory_use: float = 0.0
    prefill_s: float = 0.0
    own_prefill_s: float = 0.0
    pace: float = 1.0
    usual_pace: float = 1.0
    used_tokens: int = 0


class LoadForecaster:
    """Adds the requests sent since an engine's latest report to that report.

    Where endpoints of a service state their pace, or this gateway knows of
    placements at an engine, a request that the report shows as running is not
    counted again. Elsewhere it is counted twice for up to the report's age.

    Attributes:
        placed_requests: Sizes of the generations that this gateway has placed.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        in_flight: in_flight_requests.InFlightRequests,
        reports: report_cache.ReportCache,
        statements: load_statements.LoadStatements | None = None,
        ledger: placement_ledger.PlacementLedger | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the forecaster.

        Args:
            settings: Prefill rate of the engines.
            in_flight: Requests of this gateway in flight at each endpoint.
            reports: Latest reports of the model engines.
            statements: Load that endpoints state; none if None.
            ledger: Placements that this gateway knows of; none if None.
            clock: Clock of the event loop, in seconds.
        """
        self._settings = settings
        self._in_flight = in_flight
        self._reports = reports
        self._statements = statements or load_statements.LoadStatements()
        # An empty ledger is false.
        self._ledger = (
            placement_ledger.PlacementLedger() if ledger is None else ledger
        )
        self._clock = clock
        self.placed_requests = placed_requests.PlacedRequests(clock)
        self._mean_prompt_tokens = 0.0

    def forecast(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> EndpointForecast:
        """Returns the load of an endpoint if it receives a request."""
        need, traits = need_of(request), request.service.engine
        if traits is None or need is None:
            return self._forecast_call(candidate)
        backlog = self._backlog(candidate)
        pending_tokens = self._add_reported_tokens(
            float(backlog.prompt_tokens),
            candidate,
            backlog,
            self._mean_prompt_tokens,
        )
        pace = self._statements.pace_of(candidate)
        rate_per_s = self._settings.prefill_tokens_per_s
        own_prefill_s = 0.0
        if self._statements.states_pace(need.service_name):
            own_prefill_s = need.prompt_tokens / rate_per_s * pace
        return self._forecast_engine(
            candidate,
            need,
            traits,
            backlog,
            prefill_s=pending_tokens / rate_per_s * pace,
            own_prefill_s=own_prefill_s,
        )

    def forecast_need(
        self,
        candidate: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
    ) -> EndpointForecast:
        """Returns the load of an engine if a generation is placed there.

        A gateway that places the generations of a service knows nearly all that
        an engine received since its report. So it also takes into account what
        the engine has processed since, at the rate beside decoding, and the
        prompt of the generation itself.

        Args:
            candidate: The engine.
            need: Size of the generation.
            traits: Capacity of each engine of the service.
        """
        backlog = self._backlog(candidate, is_coordinated=True)
        rate_per_s = self._prefill_rate_per_s(candidate, backlog)
        queued_tokens = backlog.remaining_tokens(
            self._known_reported_tokens(candidate, backlog),
            rate_per_s,
            self._clock(),
        )
        return self._forecast_engine(
            candidate,
            need,
            traits,
            backlog,
            prefill_s=queued_tokens / rate_per_s,
            own_prefill_s=need.prompt_tokens / rate_per_s,
        )

    def record_prompt_length(self, request: admitted.AdmittedRequest) -> None:
        """Updates the moving average of prompt lengths."""
        if request.request.shape is None:
            return
        length_tokens = prompt_tokens(request)
        mean = self._mean_prompt_tokens or length_tokens
        mean += placement_ledger.MEAN_PROMPT_WEIGHT * (length_tokens - mean)
        self._mean_prompt_tokens = mean

    def used_tokens(self, candidate: endpoint.Endpoint) -> int:
        """Returns the memory in use, in tokens.

        This is the reported memory plus the expected memory of requests sent
        since the report.
        """
        return self._used_tokens(candidate, self._backlog(candidate))

    def report_age_s(self, candidate: endpoint.Endpoint) -> float | None:
        """Returns the age of an engine's report, in seconds, or None."""
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return None
        return asyncio.get_running_loop().time() - latest.read_s

    def mean_used_tokens(self) -> int:
        """Returns the memory assumed for an engine that is not polled."""
        return self._reports.mean_used_tokens

    def _forecast_call(self, candidate: endpoint.Endpoint) -> EndpointForecast:
        """Returns the load of an endpoint if it receives a plain call."""
        count = self._in_flight.count(candidate.endpoint_id)
        statement = self._statements.latest(candidate)
        if statement is not None and self._is_usable(statement):
            sent = self._in_flight.sent_since(
                candidate.endpoint_id, statement.received_s
            )
            stated = statement.running + statement.waiting + len(sent)
            # A false statement must not hide this gateway's own requests.
            count = max(count, stated)
        return EndpointForecast(
            (count + 1) / max(candidate.slots, 1),
            pace=self._statements.pace_of(candidate),
        )

    def _is_usable(self, statement: load_statement.LoadStatement) -> bool:
        return (
            statement.pace is not None
            and self._statements.age_s(statement) < _STATEMENT_MAX_AGE_S
        )

    def _forecast_engine(
        self,
        candidate: endpoint.Endpoint,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
        backlog: engine_backlog.EngineBacklog,
        prefill_s: float,
        own_prefill_s: float,
    ) -> EndpointForecast:
        latest = self._reports.get(candidate.endpoint_id)
        running = 0 if latest is None else latest.report.running
        used_tokens = self._used_tokens(candidate, backlog)
        tokens = used_tokens + need.expected_tokens
        return EndpointForecast(
            slot_load=(running + backlog.count + 1) / max(candidate.slots, 1),
            memory_use=tokens / max(traits.memory_tokens, 1),
            prefill_s=prefill_s,
            own_prefill_s=own_prefill_s,
            pace=self._statements.pace_of(candidate),
            usual_pace=self._statements.usual_pace_of(candidate),
            used_tokens=used_tokens,
        )

    def _used_tokens(
        self,
        candidate: endpoint.Endpoint,
        backlog: engine_backlog.EngineBacklog,
    ) -> int:
        latest = self._reports.get(candidate.endpoint_id)
        used_tokens = 0 if latest is None else latest.report.used_tokens
        return used_tokens + backlog.expected_tokens

    def _backlog(
        self, candidate: endpoint.Endpoint, is_coordinated: bool = False
    ) -> engine_backlog.EngineBacklog:
        endpoint_id = candidate.endpoint_id
        latest = self._reports.get(endpoint_id)
        placed = self._ledger.sent_since(endpoint_id, -math.inf)
        states_pace = self._statements.states_pace(candidate.service_name)
        if placed or states_pace or is_coordinated:
            own = self._in_flight.sent_since(endpoint_id, -math.inf)
            return engine_backlog.create(own, placed, latest)
        since_s = -math.inf if latest is None else latest.state_s
        return engine_backlog.EngineBacklog(
            self._in_flight.sent_since(endpoint_id, since_s),
            0 if latest is None else latest.report.waiting,
        )

    def _prefill_rate_per_s(
        self,
        candidate: endpoint.Endpoint,
        backlog: engine_backlog.EngineBacklog,
    ) -> float:
        """Returns the prompt tokens that an engine processes per second."""
        rate_per_s = self._settings.prefill_tokens_per_s
        rate_per_s /= self._statements.pace_of(candidate)
        latest = self._reports.get(candidate.endpoint_id)
        is_running = latest is not None and latest.report.running > 0
        if backlog.count or is_running:
            rate_per_s *= _DECODING_PREFILL_SHARE
        return rate_per_s

    def _add_reported_tokens(
        self,
        tokens: float,
        candidate: endpoint.Endpoint,
        backlog: engine_backlog.EngineBacklog,
        mean_prompt_tokens: float,
    ) -> float:
        """Adds the prompts of unknown size that a report shows, in tokens."""
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return tokens
        tokens += backlog.unknown_waiting * mean_prompt_tokens
        prefilling = sum(1 for run in latest.report.runs if not run.events)
        return tokens + prefilling * _PENDING_PREFILL_SHARE * mean_prompt_tokens

    def _known_reported_tokens(
        self,
        candidate: endpoint.Endpoint,
        backlog: engine_backlog.EngineBacklog,
    ) -> float:
        """Returns the prompts that a report shows, by their placed sizes."""
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return 0.0
        return backlog.unknown_waiting * self._ledger.mean_prompt_tokens + sum(
            self._pending_prefill_tokens(run)
            for run in latest.report.runs
            if not run.events
        )

    def _pending_prefill_tokens(self, run: report.RunReport) -> float:
        """Returns what is left of the prompt of a run without an event.

        The memory of a run shows its progress, unless the engine reserves the
        memory of the whole prompt at the start.
        """
        placed = self.placed_requests.get(run.request_id)
        if placed is None:
            return _PENDING_PREFILL_SHARE * self._ledger.mean_prompt_tokens
        if run.memory_tokens < placed.prompt_tokens:
            return placed.prompt_tokens - run.memory_tokens
        return _PENDING_PREFILL_SHARE * placed.prompt_tokens


def need_of(
    request: admitted.AdmittedRequest,
) -> placement_need.PlacementNeed | None:
    """Returns what a generation needs, or None if the size is not known."""
    shape = request.request.shape
    if shape is None:
        return None
    return placement_need.PlacementNeed(
        service_name=request.service.name,
        prompt_tokens=prompt_tokens(request),
        expected_tokens=shape.expected_tokens,
        output_tokens=shape.output_estimate_tokens,
        is_long=shape.max_output_tokens >= LONG_OUTPUT_TOKENS,
    )


def prompt_tokens(request: admitted.AdmittedRequest) -> int:
    """Returns the length of a prompt, in tokens.

    An engine processes no prompt that is larger than its memory, whatever its
    caller states.
    """
    shape, engine = request.request.shape, request.service.engine
    if shape is None:
        return 0
    if engine is None:
        return shape.prompt_tokens
    return min(shape.prompt_tokens, engine.memory_tokens)
