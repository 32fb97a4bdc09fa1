"""Tests of coordinated placement with gateways as processes."""

import re
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_PLACED = re.compile(
    r'bronzeslip_placements_total\{verdict="placed"\} ([0-9.]+)'
)
_REQUESTS = 12


def _placed_count(gateway):
    match = _PLACED.search(gateway.fetch_metrics())
    return 0 if match is None else float(match.group(1))


class CoordinatedPlacementTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            2, 3, contracts=("pressure",)
        )
        self.addCleanup(self.deployment.stop)
        self.request_count = 0

    def _call_all(self):
        """Sends a generation to each running gateway; returns the statuses."""
        statuses = []
        for gateway in self.deployment.gateways:
            if gateway.process.exit_status is not None:
                continue
            self.request_count += 1
            response = gateway.call(
                f"q{self.request_count}",
                entry_configuration.STREAMS_PATH,
                b"stream",
                ("part",),
            )
            statuses.append(response.status_code)
        return statuses

    def _wait_for_coordinator(self):
        def find():
            self._call_all()
            return next(
                (
                    gateway
                    for gateway in self.deployment.gateways
                    if gateway.process.exit_status is None
                    and _placed_count(gateway)
                ),
                None,
            )

        return wait.until(find)

    # Guards against a coordinator whose death fails or delays generations.
    def test_one_gateway_places_for_all_until_it_is_killed(self):
        coordinator = self._wait_for_coordinator()
        before = _placed_count(coordinator)
        for _ in range(_REQUESTS):
            self.assertEqual(self._call_all(), [httpx.codes.OK] * 2)
        self.assertGreaterEqual(
            _placed_count(coordinator) - before, 2 * _REQUESTS
        )
        coordinator.process.kill()
        started_s = time.monotonic()
        for _ in range(_REQUESTS):
            self.assertEqual(self._call_all(), [httpx.codes.OK])
        self.assertLess(time.monotonic() - started_s, _REQUESTS * 1.0)
        self.assertIsNot(self._wait_for_coordinator(), coordinator)


if __name__ == "__main__":
    unittest.main()
