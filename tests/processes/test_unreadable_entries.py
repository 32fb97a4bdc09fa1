"""Tests of gateways that follow a list with entries of other writers."""

import time
import unittest

import httpx

from tools import entry_deployment
from tools import unreadable_entries
from tools import wait

# Longer than a watch call and the delay after it.
_OBSERVED_S = 3.0
_CALLS = 16


class UnreadableEntriesTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment()
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        (self.endpoint,) = self.deployment.call_endpoints

    def restore(self):
        """Restores the state before the unreadable entry was written."""
        self.deployment.remove_object("servers", "odd")
        self.restart_endpoint()
        if self.gateway.process.exit_status is not None:
            self.gateway.process.stop()
            self.gateway.start()
        self.gateway.wait_ready()

    def assert_serves(self):
        """Checks that the gateway runs, is ready and uses sound endpoints."""
        self.assertIsNone(self.gateway.process.exit_status)
        wait.until(lambda: self.gateway.readiness_status() == httpx.codes.OK)
        statuses = [
            self.gateway.call(f"call-{number}-{time.monotonic()}").status_code
            for number in range(_CALLS)
        ]
        self.assertEqual(statuses, [httpx.codes.OK] * _CALLS)

    # Guards against entries of another writer that end every gateway that
    # reads the list, or make it stop following the list.
    def test_entries_do_not_end_a_watching_gateway(self):
        for name, item in unreadable_entries.ITEMS.items():
            with self.subTest(item=name):
                self.restore()
                self.deployment.put_raw_object("servers", "odd", item)
                time.sleep(_OBSERVED_S)
                self.assert_serves()
                self.assert_follows()

    # Guards against a gateway that can't start while such an entry exists.
    def test_entries_do_not_keep_a_gateway_from_starting(self):
        for name, item in unreadable_entries.ITEMS.items():
            with self.subTest(item=name):
                self.restore()
                self.deployment.put_raw_object("servers", "odd", item)
                self.gateway.process.kill()
                self.gateway.process.stop()
                self.gateway.start()
                self.gateway.wait_ready()
                self.assert_serves()

    def assert_follows(self):
        """Checks that the gateway still notices changes of the list."""
        self.deployment.register(self.endpoint, "draining")
        wait.until(lambda: self.gateway.call("follow").status_code == 503)
        self.restart_endpoint()
        wait.until(lambda: self.gateway.call("follow").status_code == 200)

    def restart_endpoint(self):
        """Restarts the endpoint, which registers as ready again."""
        self.endpoint.restart()
        self.deployment.register(self.endpoint)


if __name__ == "__main__":
    unittest.main()
