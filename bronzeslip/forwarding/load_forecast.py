"""Load that is expected of an endpoint if it takes a request."""

import asyncio
import math

import msgspec

from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import admitted
from bronzeslip.settings import entry

# Time that a report is old when it is read; the pages give some hundred ms.
_REPORT_LAG_S = 0.5
# Part of a prompt that a run without an event has still to read, on average.
_UNREAD_PART = 0.5
# Weight of a new prompt in the mean length of prompts.
_MEAN_WEIGHT = 0.05


class EndpointForecast(msgspec.Struct, frozen=True):
    """What is expected of an endpoint if it takes a request.

    Attributes:
        crowding: Requests for each of its slots.
        memory: Share of its memory that is taken, 0 for plain services.
        prefill_s: Time to read the prompts that wait there, in seconds.
    """

    crowding: float
    memory: float = 0.0
    prefill_s: float = 0.0


class LoadForecaster:
    """Joins an engine's last report with what was sent there since."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        own: in_flight_requests.InFlightRequests,
        reports: report_cache.ReportCache,
    ) -> None:
        """Creates a forecaster.

        Args:
            settings: Rate at which engines read prompts.
            own: Requests that this gateway has under way.
            reports: Reports of the model engines.
        """
        self._settings = settings
        self._own = own
        self._reports = reports
        self._mean_prompt_tokens = 0.0

    def forecast(
        self, option: endpoint.Endpoint, request: admitted.AdmittedRequest
    ) -> EndpointForecast:
        """Expects the load of an endpoint if it takes a request."""
        shape = request.request.shape
        if request.service.engine is None or shape is None:
            count = self._own.count(option.endpoint_id) + 1
            return EndpointForecast(count / max(option.slots, 1))
        since = self._sent_since_report(option)
        dated = self._reports.get(option.endpoint_id)
        running = 0
        if dated is not None:
            running = dated.report.running + dated.report.waiting
        capacity_tokens = max(request.service.engine.memory_tokens, 1)
        tokens = self.used_tokens(option) + shape.expected_tokens
        return EndpointForecast(
            crowding=(running + len(since) + 1) / max(option.slots, 1),
            memory=tokens / capacity_tokens,
            prefill_s=self._unread_tokens(option)
            / self._settings.prefill_tokens_per_s,
        )

    def note_prompt(self, request: admitted.AdmittedRequest) -> None:
        """Counts a prompt in the mean length of prompts."""
        shape = request.request.shape
        if shape is None:
            return
        mean = self._mean_prompt_tokens or shape.prompt_tokens
        mean += _MEAN_WEIGHT * (shape.prompt_tokens - mean)
        self._mean_prompt_tokens = mean

    def used_tokens(self, option: endpoint.Endpoint) -> int:
        """Returns the memory taken by the report and by what came since."""
        dated = self._reports.get(option.endpoint_id)
        used_tokens = 0 if dated is None else dated.report.used_tokens
        return used_tokens + sum(
            run.expected_tokens for run in self._sent_since_report(option)
        )

    def report_age_s(self, option: endpoint.Endpoint) -> float | None:
        """Returns the age of an engine's report, or None without one."""
        dated = self._reports.get(option.endpoint_id)
        if dated is None:
            return None
        return asyncio.get_running_loop().time() - dated.received_s

    def usual_tokens(self) -> int:
        """Returns the memory taken at an engine whose report is not read."""
        return self._reports.mean_used_tokens

    def _unread_tokens(self, option: endpoint.Endpoint) -> float:
        """Returns the tokens of prompts that wait to be read."""
        tokens = float(
            sum(run.prompt_tokens for run in self._sent_since_report(option))
        )
        dated = self._reports.get(option.endpoint_id)
        if dated is None:
            return tokens
        tokens += dated.report.waiting * self._mean_prompt_tokens
        begun = sum(1 for run in dated.report.runs if not run.events)
        return tokens + begun * _UNREAD_PART * self._mean_prompt_tokens

    def _sent_since_report(
        self, option: endpoint.Endpoint
    ) -> tuple[in_flight_requests.InFlightRequest, ...]:
        dated = self._reports.get(option.endpoint_id)
        since_s = (
            -math.inf if dated is None else dated.received_s - _REPORT_LAG_S
        )
        return self._own.sent_since(option.endpoint_id, since_s)
