"""Metrics common to all daemons."""

import aioprometheus

from bronzeslip import logs
from bronzeslip import process_memory
from bronzeslip.configuration import in_force

logger = logs.get_logger(__name__)


class ProcessMetrics:
    """Metrics of one process.

    Attributes:
        registry: Registry of the metrics exported by /metrics.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._platform_calls = self._counter(
            "bronzeslip_platform_calls_total",
            "Calls to the platform by kind and result",
        )
        self._configuration_number = aioprometheus.Gauge(
            "bronzeslip_configuration_number",
            "Number of the configuration in force, -1 before the first",
            registry=self.registry,
        )
        self._configuration_number.set({}, -1)
        self._resident_memory = aioprometheus.Gauge(
            "bronzeslip_process_resident_bytes",
            "Resident memory of the process, in bytes",
            registry=self.registry,
        )

        self._events = self._counter(
            "bronzeslip_events_total", "Events logged, left out lines too"
        )

    def count_platform_call(self, kind: str, result: str) -> None:
        """Counts a call to the platform."""
        self._platform_calls.inc({"kind": kind, "result": result})

    def track_configuration_number(
        self, active_configuration: in_force.ActiveConfiguration
    ) -> None:
        """Exports the number of the active configuration."""

        def update_number() -> None:
            self._configuration_number.set({}, active_configuration.number)

        active_configuration.add_listener(update_number)
        update_number()

    def refresh(self) -> None:
        """Updates metrics that are computed only when scraped."""
        try:
            self._resident_memory.set({}, process_memory.resident_bytes())
        except OSError as error:
            logger.info("process.memory_unknown", reason=str(error))
        for event, count in logs.event_counts.items():
            self._events.set({"event": event}, count)

    def _counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, help_text, registry=self.registry)
