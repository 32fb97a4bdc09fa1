"""Tests of bronzeslip.gateway.peer_pool."""

import time
import types
import unittest
from unittest import mock

from bronzeslip.gateway import peer_pool


class _FakePeer:
    """Peer whose connection a test closes."""

    def __init__(self, address, settings):
        self.lost_at_s = None
        self.connection = types.SimpleNamespace(
            closed=False, incarnation_id=None
        )

    def lose(self, age_s):
        self.connection.closed = True
        self.lost_at_s = time.monotonic() - age_s


@mock.patch.object(peer_pool.gateway_peer, "Peer", _FakePeer)
class PeerPoolTest(unittest.TestCase):
    def test_connections_of_replaced_endpoints_are_dropped(self):
        pool = peer_pool.PeerPool(None)
        for number in range(1000):
            pool.get(f"10.0.0.{number}:1").lose(age_s=60.0)
        pool.get("10.1.0.1:1")
        self.assertLessEqual(len(pool._peers), 2)
        self.assertEqual(pool._lost_at_s, {})

    def test_recent_loss_is_remembered(self):
        pool = peer_pool.PeerPool(None)
        pool.get("10.0.0.1:1").lose(age_s=0.1)
        pool.get("10.0.0.2:1")
        self.assertTrue(pool.is_failing("10.0.0.1:1"))

    def test_open_connection_is_kept(self):
        pool = peer_pool.PeerPool(None)
        first = pool.get("10.0.0.1:1")
        pool.get("10.0.0.2:1")
        self.assertIs(pool.get("10.0.0.1:1"), first)


if __name__ == "__main__":
    unittest.main()
