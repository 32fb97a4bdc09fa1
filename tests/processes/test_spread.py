"""Tests of configuration replication while gateways are frozen or killed."""

import dataclasses
import json
import signal
import time
import unittest

import httpx

from tools import local_deployment
from tools import shapes

SHAPE = dataclasses.replace(
    shapes.MIDLANDS, regions=("brum",), engine_count=2, plain_count=1
)
GATEWAY_COUNT = 4
WAIT_TIMEOUT_S = 30.0


def get_status(gateway):
    response = httpx.get(
        f"{gateway.http_url()}/v1/configuration/status",
        headers=local_deployment.operator_headers(),
        timeout=10.0,
    )
    response.raise_for_status()
    return response.json()


class SpreadTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            SHAPE, gateway_count=GATEWAY_COUNT
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.number = 1

    def submit(self):
        workspace = {"workspaces": {"smiths": {"weight": self.number + 1.0}}}
        type(self).number = self.deployment.submit(workspace, self.number)

    def wait_for_numbers(self, gateway, numbers):
        """Waits until numbers are in force in these counts of processes."""
        expected = {str(number): count for number, count in numbers.items()}
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            status = get_status(gateway)
            domain = status["domains"][0]
            if domain["numbers"] == expected:
                return status
            if time.monotonic() > end_s:
                self.fail(f"{expected} is not in force: {json.dumps(status)}")
            time.sleep(0.05)

    def test_frozen_and_killed_gateways(self):
        first, frozen, killed, _ = self.deployment.gateways
        process_count = GATEWAY_COUNT + len(self.deployment.sidecars)
        status = self.wait_for_numbers(first, {self.number: process_count})
        self.assertTrue(status["in_force_everywhere"])
        self.assertEqual(status["domains"][0]["unreported"], 0)

        frozen.send_signal(signal.SIGSTOP)
        self.submit()
        status = self.wait_for_numbers(first, {self.number: process_count - 1})
        self.assertEqual(status["domains"][0]["unreported"], 1)
        self.assertFalse(status["in_force_everywhere"])
        frozen.send_signal(signal.SIGCONT)
        self.wait_for_numbers(first, {self.number: process_count})

        killed.kill()
        self.submit()
        status = self.wait_for_numbers(first, {self.number: process_count - 1})
        self.assertEqual(status["number"], self.number)

        self.deployment.platform.send_signal(signal.SIGSTOP)
        seed = f"127.0.0.1:{first.peer_port()}"
        restarted = self.deployment.start_gateway(2, "--seed-peers", seed)
        self.deployment.gateways[2] = restarted
        restarted.wait_for_line("configuration.in_force")
        self.deployment.platform.send_signal(signal.SIGCONT)
        self.submit()
        self.wait_for_numbers(first, {self.number: process_count})


if __name__ == "__main__":
    unittest.main()
