"""Forecasts the load of endpoints."""

import asyncio
import math

import msgspec

from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import admitted
from bronzeslip.settings import entry

# Age of a report when it is fetched. The platform documentation states some
# hundred milliseconds.
_REPORT_LAG_S = 0.5
# Average share of the prompt that is still to be processed in a run that has
# not generated an event.
_PENDING_PREFILL_SHARE = 0.5
# Weight of a new prompt in the moving average of prompt lengths.
_MEAN_PROMPT_WEIGHT = 0.05


class EndpointForecast(msgspec.Struct, frozen=True):
    """Forecast load of an endpoint if it receives a request.

    Attributes:
        slot_load: Number of requests per slot.
        memory_use: Share of the memory in use; 0 for plain services.
        prefill_s: Time to process the queued prompts, in seconds.
    """

    slot_load: float
    memory_use: float = 0.0
    prefill_s: float = 0.0


class LoadForecaster:
    """Adds the requests sent since an engine's latest report to that report."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        in_flight: in_flight_requests.InFlightRequests,
        reports: report_cache.ReportCache,
    ) -> None:
        """Initializes the forecaster.

        Args:
            settings: Prefill rate of the engines.
            in_flight: Requests of this gateway in flight at each endpoint.
            reports: Latest reports of the model engines.
        """
        self._settings = settings
        self._in_flight = in_flight
        self._reports = reports
        self._mean_prompt_tokens = 0.0

    def forecast(
        self, candidate: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> EndpointForecast:
        """Returns the load of an endpoint if it receives a request."""
        shape = request.request.shape
        if request.service.engine is None or shape is None:
            count = self._in_flight.count(candidate.endpoint_id) + 1
            return EndpointForecast(count / max(candidate.slots, 1))
        sent_since = self._sent_since_report(candidate)
        latest = self._reports.get(candidate.endpoint_id)
        running = 0
        if latest is not None:
            running = latest.report.running + latest.report.waiting
        capacity_tokens = max(request.service.engine.memory_tokens, 1)
        tokens = self.used_tokens(candidate) + shape.expected_tokens
        return EndpointForecast(
            slot_load=(running + len(sent_since) + 1) / max(candidate.slots, 1),
            memory_use=tokens / capacity_tokens,
            prefill_s=self._pending_prefill_tokens(candidate)
            / self._settings.prefill_tokens_per_s,
        )

    def record_prompt_length(self, request: admitted.AdmittedRequest) -> None:
        """Updates the moving average of prompt lengths."""
        if request.request.shape is None:
            return
        length_tokens = prompt_tokens(request)
        mean = self._mean_prompt_tokens or length_tokens
        mean += _MEAN_PROMPT_WEIGHT * (length_tokens - mean)
        self._mean_prompt_tokens = mean

    def used_tokens(self, candidate: endpoint.Endpoint) -> int:
        """Returns the memory in use, in tokens.

        This is the reported memory plus the expected memory of requests sent
        since the report.
        """
        latest = self._reports.get(candidate.endpoint_id)
        used_tokens = 0 if latest is None else latest.report.used_tokens
        return used_tokens + sum(
            run.expected_tokens for run in self._sent_since_report(candidate)
        )

    def report_age_s(self, candidate: endpoint.Endpoint) -> float | None:
        """Returns the age of an engine's report, in seconds, or None."""
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return None
        return asyncio.get_running_loop().time() - latest.read_s

    def mean_used_tokens(self) -> int:
        """Returns the memory assumed for an engine that is not polled."""
        return self._reports.mean_used_tokens

    def _pending_prefill_tokens(self, candidate: endpoint.Endpoint) -> float:
        """Returns the number of prompt tokens still to be processed."""
        tokens = float(
            sum(run.prompt_tokens for run in self._sent_since_report(candidate))
        )
        latest = self._reports.get(candidate.endpoint_id)
        if latest is None:
            return tokens
        tokens += latest.report.waiting * self._mean_prompt_tokens
        prefilling = sum(1 for run in latest.report.runs if not run.events)
        return (
            tokens
            + prefilling * _PENDING_PREFILL_SHARE * self._mean_prompt_tokens
        )

    def _sent_since_report(
        self, candidate: endpoint.Endpoint
    ) -> tuple[in_flight_requests.InFlightRequest, ...]:
        latest = self._reports.get(candidate.endpoint_id)
        since_s = -math.inf if latest is None else latest.read_s - _REPORT_LAG_S
        return self._in_flight.sent_since(candidate.endpoint_id, since_s)


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
