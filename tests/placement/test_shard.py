"""Tests of bronzeslip.placement.shard."""

import collections
import unittest

from bronzeslip.placement import shard

_ENDPOINTS = [f"i-{number}" for number in range(150)]


class ShardTest(unittest.TestCase):
    def test_small_service_has_one_shard(self):
        for count in (0, 1, 64):
            selected = shard.of_gateway("front-1", "pool", count)
            self.assertEqual(selected.key, "placement/pool/0/1")
            self.assertTrue(all(map(selected.contains, _ENDPOINTS)))

    # Guards against endpoints or gateways that no coordinator serves.
    def test_large_service_is_split_completely(self):
        count = len(_ENDPOINTS)
        gateways = collections.Counter(
            shard.of_gateway(f"front-{number}", "pool", count)
            for number in range(400)
        )
        self.assertEqual(len(gateways), 3)
        self.assertGreater(min(gateways.values()), 100)
        for endpoint_id in _ENDPOINTS:
            owners = [each for each in gateways if each.contains(endpoint_id)]
            self.assertEqual(len(owners), 1)


if __name__ == "__main__":
    unittest.main()
