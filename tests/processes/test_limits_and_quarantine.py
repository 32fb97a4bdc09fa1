"""Limits of workspaces and requests that crash engines, over processes."""

import concurrent.futures
import dataclasses
import time
import unittest

import httpx

from tools import local_deployment
from tools import shapes

_SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=4, plain_count=1)
_WAIT_S = 60.0
_INNOCENTS = 12


class LimitsAndQuarantineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(_SHAPE)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.executor = concurrent.futures.ThreadPoolExecutor(2 * _INNOCENTS)
        cls.addClassCleanup(cls.executor.shutdown)

    def wait_until(self, condition):
        end_s = time.monotonic() + _WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), end_s, "waited too long")
            time.sleep(0.02)

    def complete(self, prompt, gateway=0):
        url = self.deployment.gateways[gateway].http_url()
        return httpx.post(
            f"{url}/v1/completions",
            headers=local_deployment.caller_headers("clerks"),
            json={"model": _SHAPE.model, "prompt": prompt},
            timeout=_WAIT_S,
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
            timeout=_WAIT_S,
        )

    def started_count(self):
        return sum(
            len(httpx.get(f"{engine.http_url()}/standin/started").json())
            for engine in self.deployment.engines
        )

    def dead_count(self):
        return sum(
            engine.exit_status is not None for engine in self.deployment.engines
        )

    def hold(self, hold):
        url = self.deployment.plain_endpoints[0].http_url()
        httpx.post(f"{url}/standin/modes", json={"hold": hold})

    def runs(self):
        url = self.deployment.plain_endpoints[0].http_url()
        return httpx.get(f"{url}/standin/runs").json()

    def test_a_workspace_over_its_share_is_refused_at_once(self):
        limits = {"limits": {"requests_in_flight": 2}}
        self.deployment.submit({"workspaces": {"conservation": limits}}, 1)
        self.hold(True)
        self.addCleanup(self.hold, False)
        first = self.executor.submit(self.call, "limit-1")
        self.wait_until(lambda: "limit-1" in self.runs())
        second = self.call("limit-2")
        self.assertEqual(second.status_code, 429)
        self.assertEqual(second.json()["code"], "limited")
        self.assertIn("retry-after", second.headers)
        self.hold(False)
        self.assertEqual(first.result().status_code, 200)
        self.assertEqual(self.call("limit-2").status_code, 200)

    def test_crashing_request_is_quarantined_and_innocents_clear(self):
        before = self.started_count()
        innocents = [
            self.executor.submit(
                self.complete, f"innocent {index} #length=60", index % 2
            )
            for index in range(_INNOCENTS)
        ]
        self.wait_until(lambda: self.started_count() - before >= _INNOCENTS)
        crashing = self.complete("#crash", gateway=0)
        self.assertEqual(crashing.status_code, 422)
        self.assertEqual(crashing.json()["code"], "quarantined")
        self.assertEqual(self.dead_count(), 2)
        self.deployment.gateways[1].wait_for_line("suspects.quarantined")
        again = self.complete("#crash", gateway=1)
        self.assertEqual(again.json()["code"], "quarantined")
        answers = [innocent.result() for innocent in innocents]
        for index, answer in enumerate(answers):
            self.assertEqual(answer.status_code, 200, answer.text)
            resent = self.complete(
                f"innocent {index} #length=60", (index + 1) % 2
            )
            self.assertEqual(resent.status_code, 200, resent.text)
        self.assertEqual(self.dead_count(), 2)


if __name__ == "__main__":
    unittest.main()
