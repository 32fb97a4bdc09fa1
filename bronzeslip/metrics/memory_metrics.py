"""Metrics of the memory budget and of the connections that draw on it."""

import aioprometheus

from bronzeslip.http import connection_slots
from bronzeslip.memory import budget


class MemoryMetrics:
    """Exports how much of the memory budget is taken and what is refused."""

    def __init__(
        self,
        registry: aioprometheus.Registry,
        memory: budget.MemoryBudget,
        slots: connection_slots.ConnectionSlots,
        internal_slots: connection_slots.ConnectionSlots,
    ) -> None:
        """Creates the metrics.

        Args:
            registry: Registry of the process.
            memory: Budget of the process.
            slots: Connections of callers.
            internal_slots: Connections to all other ports.
        """
        self._pools = {
            "requests": memory.requests,
            "responses": memory.responses,
        }
        self._slots = {"callers": slots, "internal": internal_slots}
        self._capacity = aioprometheus.Gauge(
            "bronzeslip_memory_budget_bytes",
            "Memory that may be taken, by purpose",
            registry=registry,
        )
        self._taken = aioprometheus.Gauge(
            "bronzeslip_memory_taken_bytes",
            "Memory that is taken, by purpose",
            registry=registry,
        )
        self._refused = aioprometheus.Counter(
            "bronzeslip_memory_refused_total",
            "Requests and connections refused for lack of room",
            registry=registry,
        )
        self._connections = aioprometheus.Gauge(
            "bronzeslip_caller_connections",
            "Open connections of callers",
            registry=registry,
        )
        self._closed = aioprometheus.Counter(
            "bronzeslip_connections_closed_total",
            "Connections closed by the process, by port and reason",
            registry=registry,
        )
        self._held = aioprometheus.Gauge(
            "bronzeslip_connections_held_bytes",
            "Memory that connections hold, by port",
            registry=registry,
        )

    def refresh(self) -> None:
        """Updates the values."""
        for purpose, pool in self._pools.items():
            labels = {"purpose": purpose}
            self._capacity.set(labels, pool.capacity_bytes)
            self._taken.set(labels, pool.taken_bytes)
            self._refused.set(labels, pool.refused_count)
        callers = self._slots["callers"]
        self._refused.set({"purpose": "connections"}, callers.refused_count)
        self._connections.set({}, callers.open_count)
        for port, slots in self._slots.items():
            self._held.set({"port": port}, slots.held_bytes)
            for reason, count in slots.closed_counts.items():
                self._closed.set({"port": port, "reason": reason}, count)
