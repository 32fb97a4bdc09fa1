"""Tests of bronzeslip.metrics.memory_metrics."""

import unittest

import aioprometheus

from bronzeslip.http import connection_slots
from bronzeslip.metrics import memory_metrics
from tests.support import forwarding_parts


class MemoryMetricsTest(unittest.TestCase):
    def test_values_are_refreshed(self):
        registry = aioprometheus.Registry()
        memory = forwarding_parts.create_memory()
        internal = connection_slots.ConnectionSlots()
        metrics = memory_metrics.MemoryMetrics(
            registry,
            memory,
            connection_slots.ConnectionSlots(),
            internal,
        )
        memory.requests.force(3)
        memory.responses.refused_count = 2
        internal.count_closed("read-timeout")
        metrics.refresh()
        taken = registry.get("bronzeslip_memory_taken_bytes")
        self.assertEqual(taken.get({"purpose": "requests"}), 3)
        refused = registry.get("bronzeslip_memory_refused_total")
        self.assertEqual(refused.get({"purpose": "responses"}), 2)
        self.assertEqual(refused.get({"purpose": "connections"}), 0)
        connections = registry.get("bronzeslip_caller_connections")
        self.assertEqual(connections.get({}), 0)
        closed = registry.get("bronzeslip_connections_closed_total")
        labels = {"port": "internal", "reason": "read-timeout"}
        self.assertEqual(closed.get(labels), 1)
