"""Tests of workspace limits and the quarantine of crashing requests."""

import concurrent.futures
import dataclasses
import time
import unittest

import httpx

from tools import local_deployment
from tools import shapes

_SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=4, plain_count=1)
_WAIT_TIMEOUT_S = 60.0
_OTHER_REQUEST_COUNT = 12


class LimitsAndQuarantineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(_SHAPE)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.executor = concurrent.futures.ThreadPoolExecutor(
            2 * _OTHER_REQUEST_COUNT
        )
        cls.addClassCleanup(cls.executor.shutdown)

    def wait_until(self, condition):
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(
                time.monotonic(), end_s, "the condition was not met in time"
            )
            time.sleep(0.02)

    def complete(self, prompt, gateway=0):
        url = self.deployment.gateways[gateway].http_url()
        return httpx.post(
            f"{url}/v1/completions",
            headers=local_deployment.caller_headers("clerks"),
            json={"model": _SHAPE.model, "prompt": prompt},
            timeout=_WAIT_TIMEOUT_S,
        )

    def call(self, key):
        url = self.deployment.gateways[0].http_url()
        return httpx.post(
            f"{url}/v1/services/{_SHAPE.plain_service}/awards",
            headers={
                **local_deployment.caller_headers("conservation"),
                "Idempotency-Key": key,
            },
            content=key,
            timeout=_WAIT_TIMEOUT_S,
        )

    def started_count(self):
        return sum(
            len(httpx.get(f"{engine.http_url()}/standin/started").json())
            for engine in self.deployment.engines
        )

    def crashed_engine_count(self):
        return sum(
            engine.exit_status is not None for engine in self.deployment.engines
        )

    def hold(self, is_held):
        url = self.deployment.plain_endpoints[0].http_url()
        httpx.post(f"{url}/standin/modes", json={"hold": is_held})

    def run_counts(self):
        url = self.deployment.plain_endpoints[0].http_url()
        return httpx.get(f"{url}/standin/runs").json()

    def test_workspace_over_its_limit_is_rejected(self):
        limits = {"limits": {"requests_in_flight": 2}}
        self.deployment.submit({"workspaces": {"conservation": limits}}, 1)
        self.hold(True)
        self.addCleanup(self.hold, False)
        first = self.executor.submit(self.call, "limit-1")
        self.wait_until(lambda: "limit-1" in self.run_counts())
        second = self.call("limit-2")
        self.assertEqual(second.status_code, 429)
        self.assertEqual(second.json()["code"], "limited")
        self.assertIn("retry-after", second.headers)
        self.hold(False)
        self.assertEqual(first.result().status_code, 200)
        self.assertEqual(self.call("limit-2").status_code, 200)

    def test_only_the_crashing_request_is_quarantined(self):
        started_before = self.started_count()
        other_futures = [
            self.executor.submit(
                self.complete, f"innocent {index} #length=60", index % 2
            )
            for index in range(_OTHER_REQUEST_COUNT)
        ]
        self.wait_until(
            lambda: (
                self.started_count() - started_before >= _OTHER_REQUEST_COUNT
            )
        )
        crash_response = self.complete("#crash", gateway=0)
        self.assertEqual(crash_response.status_code, 422)
        self.assertEqual(crash_response.json()["code"], "quarantined")
        self.assertEqual(self.crashed_engine_count(), 2)
        self.deployment.gateways[1].wait_for_line("suspects.quarantined")
        repeated = self.complete("#crash", gateway=1)
        self.assertEqual(repeated.json()["code"], "quarantined")
        responses = [other_future.result() for other_future in other_futures]
        for index, response in enumerate(responses):
            self.assertEqual(response.status_code, 200, response.text)
            repeated_response = self.complete(
                f"innocent {index} #length=60", (index + 1) % 2
            )
            self.assertEqual(
                repeated_response.status_code, 200, repeated_response.text
            )
        self.assertEqual(self.crashed_engine_count(), 2)


if __name__ == "__main__":
    unittest.main()
