"""Tests of bronzeslip.http.connection_slots."""

import unittest

from bronzeslip.http import connection_slots
from bronzeslip.memory import pool


class _FakeConnection:
    """Fake connection that records its eviction."""

    def __init__(self):
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


class ConnectionSlotsTest(unittest.TestCase):
    def setUp(self):
        self.pool = pool.MemoryPool(10**6)
        self.slots = connection_slots.ConnectionSlots(3, self.pool)
        self.connections = [_FakeConnection() for _ in range(3)]
        for number, connection in enumerate(self.connections):
            self.assertTrue(self.slots.open(connection, float(number)))

    def evicted(self):
        return [item.is_evicted for item in self.connections]

    def test_longest_idle_connection_gives_way(self):
        self.slots.begin(self.connections[0])
        self.slots.end(self.connections[0], 5.0)
        self.assertTrue(self.slots.open(_FakeConnection(), 10.0))
        self.assertEqual(self.evicted(), [False, True, False])
        self.assertEqual(self.slots.open_count, 3)

    def test_busy_connections_are_kept(self):
        for connection in self.connections:
            self.slots.begin(connection)
        refused = _FakeConnection()
        self.assertFalse(self.slots.open(refused, 10.0))
        self.assertEqual(self.evicted(), [False, False, False])
        self.assertEqual(self.slots.refused_count, 1)
        self.slots.close(refused)
        self.assertEqual(self.slots.open_count, 3)

    def test_recently_used_connections_are_kept(self):
        self.assertFalse(self.slots.open(_FakeConnection(), 0.1))
        self.assertEqual(self.evicted(), [False, False, False])

    def test_memory_is_taken_until_the_end(self):
        size_bytes = connection_slots.CONNECTION_BYTES
        self.assertEqual(self.pool.taken_bytes, 3 * size_bytes)
        self.slots.open(_FakeConnection(), 10.0)
        self.assertEqual(self.pool.taken_bytes, 3 * size_bytes)
        for connection in self.connections:
            self.slots.close(connection)
            self.slots.close(connection)
        self.assertEqual(self.pool.taken_bytes, size_bytes)

    def test_evicted_connection_gets_no_slot_back(self):
        self.slots.open(_FakeConnection(), 10.0)
        self.slots.end(self.connections[0], 11.0)
        self.slots.close(self.connections[0])
        self.assertEqual(self.slots.open_count, 3)


class HeldBytesTest(unittest.TestCase):
    def setUp(self):
        self.slots = connection_slots.ConnectionSlots(
            max_bytes=10 * connection_slots.CONNECTION_BYTES
        )
        self.connections = [_FakeConnection() for _ in range(4)]
        for number, connection in enumerate(self.connections):
            self.assertTrue(self.slots.open(connection, float(number)))

    def hold(self, number, share, now_s):
        size_bytes = share * connection_slots.CONNECTION_BYTES
        return self.slots.hold(self.connections[number], size_bytes, now_s)

    def evicted(self):
        return [item.is_evicted for item in self.connections]

    # Guards against closing idle connections, each of which frees little, in
    # place of a stalled one that holds much.
    def test_stalled_connection_that_holds_much_gives_way(self):
        self.assertTrue(self.hold(2, 5, 4.0))
        self.assertTrue(self.hold(3, 5, 10.0))
        self.assertEqual(self.evicted(), [False, False, True, False])

    def test_connections_that_are_served_are_kept(self):
        self.assertTrue(self.hold(2, 5, 4.0))
        for connection in self.connections:
            self.slots.begin(connection)
        self.assertFalse(self.hold(3, 5, 10.0))
        self.assertEqual(self.evicted(), [False] * 4)

    def test_what_is_no_longer_held_is_free(self):
        self.assertTrue(self.hold(2, 6, 0.1))
        self.assertFalse(self.hold(3, 6, 0.1))
        self.assertTrue(self.hold(2, 0, 0.1))
        self.assertTrue(self.hold(3, 6, 0.1))
        self.slots.close(self.connections[3])
        self.assertEqual(
            self.slots.held_bytes, 3 * connection_slots.CONNECTION_BYTES
        )


if __name__ == "__main__":
    unittest.main()
