"""Tests of endpoints that leave or ask for a pause, as processes."""

import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment

_PAUSE_S = 5.0
# More than one call takes beside load.
_MARGIN_S = 1.5


class AnnouncingEndpointTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(1, 2)
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        self.first, self.second = self.deployment.call_endpoints

    def _call(self, count, name):
        return [
            self.gateway.call(f"{name}-{number}").status_code
            for number in range(count)
        ]

    def _arrivals(self, endpoint, name):
        return [
            line
            for line in endpoint.process.lines
            if line.startswith(f"arrived {name}")
        ]

    def test_leaving_endpoint_receives_no_more_requests(self):
        self.first.leave()
        self._call(20, "before")
        self.gateway.process.wait_for_line('"endpoints.leaving"')
        self.assertEqual(set(self._call(20, "after")), {httpx.codes.OK})
        self.assertEqual(self._arrivals(self.first, "after"), [])
        self.first.restart()
        self.deployment.register(self.first)
        self.gateway.process.wait_for_line('"reason":"restarted"')
        self._call(30, "again")
        self.assertNotEqual(self._arrivals(self.first, "again"), [])

    def test_endpoint_that_asks_for_a_pause_is_left_alone(self):
        self.first.pause(_PAUSE_S)
        started_s = time.monotonic()
        statuses = []
        while time.monotonic() - started_s < _PAUSE_S - _MARGIN_S:
            statuses += self._call(1, f"first-{len(statuses)}")
        self.assertGreaterEqual(len(statuses), 10)
        self.assertEqual(set(statuses), {httpx.codes.OK})
        self.assertLessEqual(len(self._arrivals(self.first, "first")), 1)
        time.sleep(2 * _MARGIN_S)
        self._call(30, "later")
        self.assertNotEqual(self._arrivals(self.first, "later"), [])

    def test_request_is_refused_at_once_if_all_endpoints_ask_for_a_pause(self):
        for endpoint in (self.first, self.second):
            endpoint.pause(5.0)
        self._call(3, "first")
        started_s = time.monotonic()
        response = self.gateway.call("refused")
        self.assertLess(time.monotonic() - started_s, 1.0)
        self.assertEqual(response.status_code, httpx.codes.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers["Retry-After"]), 1.0)
        self.assertEqual(self._arrivals(self.first, "refused"), [])


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(2, 2)
        self.addCleanup(self.deployment.stop)

    def _statuses(self, path):
        return {
            gateway.call(f"q-{time.monotonic_ns()}", path).status_code
            for gateway in self.deployment.gateways
        }

    def _registered(self):
        return self.deployment.object_names("bronzeslip-gateways")

    def test_configuration_in_force_does_not_go_back(self):
        restored_s = time.monotonic()
        time.sleep(0.2)
        route = entry_configuration.new_route("new")
        self.deployment.put_object(
            "config", "main", entry_configuration.configuration(5, route)
        )
        for gateway in self.deployment.gateways:
            gateway.process.wait_for_line('"version":5')
        self.deployment.restore_store(time.monotonic() - restored_s)
        for gateway in self.deployment.gateways:
            gateway.process.wait_for_line("platform.store_restored")
        time.sleep(1.0)
        self.assertEqual(self._statuses("/new/"), {httpx.codes.OK})
        self.deployment.write_all_again()
        self.assertEqual(self._statuses("/new/"), {httpx.codes.OK})

    def test_gateways_write_their_lost_records_again(self):
        self.assertEqual(len(self._registered()), 2)
        # The copy is from before any gateway was registered.
        self.deployment.restore_store(3600.0)
        self.deployment.write_all_again()
        deadline_s = time.monotonic() + 10.0
        while len(self._registered()) < 2 and time.monotonic() < deadline_s:
            time.sleep(0.1)
        self.assertEqual(len(self._registered()), 2)
        self.assertEqual(
            self._statuses(entry_configuration.READS_PATH), {httpx.codes.OK}
        )


if __name__ == "__main__":
    unittest.main()
