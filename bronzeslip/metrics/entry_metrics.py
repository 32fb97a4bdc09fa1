"""Metrics of the entry gateway, which calls endpoints directly."""

from collections.abc import Callable
import math

import aioprometheus

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.http import connection_slots
from bronzeslip.memory import budget
from bronzeslip.metrics import bounded_label
from bronzeslip.metrics import buckets
from bronzeslip.metrics import memory_metrics
from bronzeslip.metrics import outcome as outcomes
from bronzeslip.metrics import process_metrics
from bronzeslip.routes import current
from bronzeslip.routes import kind

_NO_WORKSPACE = "(public)"
_NO_VERSION = -1
_NO_AGE = -1.0


class EntryMetrics(process_metrics.ProcessMetrics):
    """Metrics of requests, attempts and endpoints."""

    def __init__(
        self,
        current_table: current.CurrentTable,
        endpoint_directory: directory.EndpointDirectory,
    ) -> None:
        """Creates metrics.

        Args:
            current_table: Configuration whose version is exported.
            endpoint_directory: Endpoints to count by state.
        """
        super().__init__()
        self._current_table = current_table
        self._endpoint_directory = endpoint_directory
        self._workspaces = bounded_label.BoundedLabel()
        self._answer_duration = self._histogram(
            "answer", "Time to the end of the answer", buckets.ANSWER_S
        )
        self._first_event = self._histogram(
            "first_event", "Time to the first event", buckets.FIRST_TOKEN_S
        )
        self._longest_pause = self._histogram(
            "longest_pause",
            "Longest pause between the events of an answer",
            buckets.BETWEEN_TOKENS_S,
        )
        self._attempts = self._counter(
            "bronzeslip_attempts_total", "Requests sent to endpoints by result"
        )
        self._place_refusals = self._counter(
            "bronzeslip_place_refusals_total",
            "Requests that no endpoint may receive because of its place, by "
            "error code",
        )
        self._evacuated_domains = aioprometheus.Gauge(
            "bronzeslip_evacuated_failure_domains",
            "Failure domains whose endpoints receive no requests",
            registry=self.registry,
        )
        self._placements = self._counter(
            "bronzeslip_placements_total",
            "Replies to requests for a placement by verdict",
        )
        self._local_choices = self._counter(
            "bronzeslip_local_choices_total",
            "Choices of a coordinated service without its coordinator",
        )
        self._report_age = self._histogram(
            "placement_report_age",
            "Age of the chosen engine's report at a placement",
            buckets.FIRST_TOKEN_S,
        )
        self._followed_age = aioprometheus.Gauge(
            "bronzeslip_followed_age_seconds",
            "Time since what is followed was last known to be up to date, -1 "
            "before that",
            registry=self.registry,
        )
        self._ages: dict[str, Callable[[], float | None]] = {}
        self._memory: memory_metrics.MemoryMetrics | None = None
        self._endpoints = aioprometheus.Gauge(
            "bronzeslip_endpoints",
            "Endpoints known by state",
            registry=self.registry,
        )

    def track_memory(
        self,
        memory: budget.MemoryBudget,
        slots: connection_slots.ConnectionSlots,
        internal_slots: connection_slots.ConnectionSlots,
    ) -> None:
        """Exports the memory budget and the connections that draw on it."""
        self._memory = memory_metrics.MemoryMetrics(
            self.registry, memory, slots, internal_slots
        )

    def track_age(
        self, followed: str, age_s: Callable[[], float | None]
    ) -> None:
        """Exports the age of what is known of something that is followed.

        Args:
            followed: Value of the label.
            age_s: Returns the time since the last confirmation, in seconds, or
                None before the first.
        """
        self._ages[followed] = age_s

    def record_answer(
        self,
        workspace_id: ids.WorkspaceId | None,
        request_kind: kind.RequestKind,
        outcome: outcomes.RequestOutcome,
        elapsed_s: float,
    ) -> None:
        """Records the duration and outcome of a finished request."""
        values = self._labels(workspace_id, request_kind)
        values["outcome"] = outcome.value
        self._answer_duration.observe(values, elapsed_s)

    def record_stream(
        self,
        workspace_id: ids.WorkspaceId | None,
        request_kind: kind.RequestKind,
        first_event_s: float,
        longest_pause_s: float,
    ) -> None:
        """Records the event times of a completely forwarded stream.

        Args:
            workspace_id: Workspace of the caller, or None on public routes.
            request_kind: Kind of the request.
            first_event_s: Time from the request to the first event, in
                seconds.
            longest_pause_s: Longest time between two events, in seconds.
        """
        values = self._labels(workspace_id, request_kind)
        self._first_event.observe(values, first_event_s)
        self._longest_pause.observe(values, longest_pause_s)

    def count_attempt(self, result: str) -> None:
        """Counts a request sent to an endpoint.

        Args:
            result: Error code, or `answered`.
        """
        self._attempts.inc({"result": result})

    def count_refusal_by_place(self, code: str) -> None:
        """Counts a request that no endpoint may receive for its place.

        Args:
            code: Code of the error.
        """
        self._place_refusals.inc({"code": code})

    def count_placement(self, verdict: str) -> None:
        """Counts a reply of this gateway as the coordinator of placements."""
        self._placements.inc({"verdict": verdict})

    def count_local_choice(self, reason: str) -> None:
        """Counts a choice that was made without the coordinator's placement."""
        self._local_choices.inc({"reason": reason})

    def observe_report_age(self, age_s: float) -> None:
        """Records the age of the report that a placement is based on.

        Engines without a report are not recorded.
        """
        if math.isfinite(age_s):
            self._report_age.observe({}, age_s)

    def refresh(self) -> None:
        """Updates metrics that are computed only when scraped."""
        super().refresh()
        if self._memory is not None:
            self._memory.refresh()
        table = self._current_table.table
        version = _NO_VERSION if table is None else table.version
        self._configuration_number.set({}, version)
        for followed, age_s in self._ages.items():
            age = age_s()
            self._followed_age.set(
                {"followed": followed}, _NO_AGE if age is None else age
            )
        endpoints = self._endpoint_directory.endpoints
        ready = sum(1 for endpoint in endpoints if endpoint.is_ready)
        self._endpoints.set({"state": "ready"}, ready)
        self._endpoints.set({"state": "leaving"}, len(endpoints) - ready)
        evacuated = self._endpoint_directory.evacuated_domains
        self._evacuated_domains.set({}, len(evacuated))
        cold = self._endpoint_directory.cold_endpoints.cold_count()
        self._endpoints.set({"state": "cold"}, cold)
        limited = self._endpoint_directory.request_limits.limited_count()
        self._endpoints.set({"state": "limited"}, limited)

    def _labels(
        self,
        workspace_id: ids.WorkspaceId | None,
        request_kind: kind.RequestKind,
    ) -> dict[str, str]:
        return {
            "workspace": self._workspaces.value_of(
                workspace_id or _NO_WORKSPACE
            ),
            "kind": request_kind.value,
        }

    def _histogram(
        self, name: str, help_text: str, bounds: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"bronzeslip_{name}_seconds",
            help_text,
            registry=self.registry,
            buckets=bounds,
        )
