"""Tests of bronzeslip.entry.caller_connections."""

import unittest

from bronzeslip.entry import caller_connections
from bronzeslip.entry import vm_config
from tests.support import forwarding_parts

_MEMORY_BYTES = 150_000_000
_REST_BYTES = 60_000_000


class CallerConnectionsTest(unittest.TestCase):
    def count(self, memory_bytes, max_descriptors):
        return caller_connections.create_slots(
            vm_config.ProcessLimits(memory_bytes, max_descriptors),
            forwarding_parts.create_memory(memory_bytes, _REST_BYTES),
        ).max_count

    def test_descriptors_are_left_for_endpoints(self):
        for max_descriptors in (300, 1000, 4100):
            with self.subTest(max_descriptors=max_descriptors):
                count = self.count(10 * _MEMORY_BYTES, max_descriptors)
                self.assertLess(count, max_descriptors * 2 / 3)
                self.assertGreater(count, 0)

    def test_memory_is_left_for_requests(self):
        small = self.count(88_000_000, None)
        self.assertLess(small, self.count(_MEMORY_BYTES, None))
        self.assertGreater(small, 100)

    def test_few_descriptors_leave_one_connection(self):
        self.assertEqual(self.count(_MEMORY_BYTES, 64), 1)
