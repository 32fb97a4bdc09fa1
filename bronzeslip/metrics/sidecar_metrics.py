"""Metrics of the sidecar and the endpoint that it serves."""

from collections.abc import Callable

import aioprometheus

from bronzeslip import ids
from bronzeslip.metrics import buckets
from bronzeslip.metrics import labels
from bronzeslip.metrics import mergeable_histogram
from bronzeslip.metrics import process_metrics
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import reason


class SidecarMetrics(process_metrics.ProcessMetrics):
    """Admission, preemption, resume and load metrics of one endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self._read_load: Callable[[], link.EndpointLoad] = link.EndpointLoad
        self._admission_wait = mergeable_histogram.MergeableHistogram(
            "bronzeslip_admission_wait_seconds",
            "Time that a request waited for admission to the endpoint",
            registry=self.registry,
            buckets=buckets.QUEUE_WAIT_S,
        )
        self._refusals = self._counter(
            "bronzeslip_endpoint_refusals_total", "Requests refused by reason"
        )
        self._preemptions = self._counter(
            "bronzeslip_preemptions_total",
            "Preemptions of finished generations as the engine told them",
        )
        self._engine_resumes = self._counter(
            "bronzeslip_engine_resumes_total",
            "Streams of the engine taken up again",
        )
        self._requests = aioprometheus.Gauge(
            "bronzeslip_endpoint_requests",
            "Requests at the endpoint by state",
            registry=self.registry,
        )

        self._memory_used_ratio = aioprometheus.Gauge(
            "bronzeslip_endpoint_memory_used_ratio",
            "Share of the engine's cache memory in use",
            registry=self.registry,
        )

    def set_load_source(
        self, read_load: Callable[[], link.EndpointLoad]
    ) -> None:
        """Sets the function that returns the endpoint load at each scrape."""
        self._read_load = read_load

    def refresh(self) -> None:
        """Sets the request and memory gauges from the current endpoint load."""
        super().refresh()
        load = self._read_load()
        self._requests.set({"state": "running"}, load.running)
        self._requests.set({"state": "queued"}, load.queued)
        self._memory_used_ratio.set({}, load.memory_used_ratio)

    def record_admission_wait(
        self, service_name: ids.ServiceName, wait_s: float
    ) -> None:
        """Records how long an admitted request waited for admission."""
        self._admission_wait.observe(_service_label(service_name), wait_s)

    def count_refusal(
        self, service_name: ids.ServiceName, refusal: reason.RefusalReason
    ) -> None:
        """Counts a refused request."""
        self._refusals.inc(
            {**_service_label(service_name), "reason": refusal.value}
        )

    def count_preemptions(
        self, service_name: ids.ServiceName, count: int
    ) -> None:
        """Counts the preemptions of one generation."""
        if count:
            self._preemptions.add(_service_label(service_name), count)

    def count_engine_resume(self, service_name: ids.ServiceName) -> None:
        """Counts a resumed engine stream."""
        self._engine_resumes.inc(_service_label(service_name))


def _service_label(service_name: ids.ServiceName) -> dict[str, str]:
    return {"service": labels.escape(service_name)}
