"""Tests of at-most-once calls through separate processes."""

import concurrent.futures
import dataclasses
import signal
import time
import unittest

import httpx

from tools import local_deployment
from tools import shapes

_CALL_PATH = "/v1/services/commissions/awards"
_WAIT_TIMEOUT_S = 30.0
_SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=1, plain_count=2)


class AtMostOnceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            _SHAPE, sidecar_flags=("--dispatch-window-s", "2")
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.executor = concurrent.futures.ThreadPoolExecutor()
        cls.addClassCleanup(cls.executor.shutdown)

    def call(self, key, body, gateway=0, workspace="clerks"):
        headers = local_deployment.caller_headers(workspace)
        if key is not None:
            headers["Idempotency-Key"] = key
        url = self.deployment.gateways[gateway].http_url()
        return httpx.post(
            url + _CALL_PATH,
            headers=headers,
            content=body,
            timeout=_WAIT_TIMEOUT_S,
        )

    def hold(self, is_held):
        for endpoint in self.deployment.plain_endpoints:
            httpx.post(
                f"{endpoint.http_url()}/standin/modes", json={"hold": is_held}
            )

    def set_platform_fault(self, **fault):
        url = self.deployment.platform.http_url()
        httpx.post(f"{url}/standin/faults", json=fault)

    def run_count(self, body):
        return sum(
            httpx.get(f"{endpoint.http_url()}/standin/runs").json().get(body, 0)
            for endpoint in self.deployment.plain_endpoints
        )

    def wait_until(self, condition):
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(
                time.monotonic(), end_s, "the condition was not met in time"
            )
            time.sleep(0.02)

    def retry_while_in_progress(self, key, body, gateway):
        responses = []

        def has_finished():
            responses.append(self.call(key, body, gateway))
            return responses[-1].json().get("code") != "in-progress"

        self.wait_until(has_finished)
        return responses[-1]

    def test_refuses_call_without_key(self):
        response = self.call(None, "no key")
        self.assertEqual(response.status_code, 400)
        self.assertEqual(self.run_count("no key"), 0)

    def test_refuses_key_that_is_too_long(self):
        self.assertEqual(self.call("k" * 256, "long key").status_code, 400)

    def test_replays_result_at_another_gateway(self):
        first = self.call("replay", "award 1", gateway=0)
        second = self.call("replay", "award 1", gateway=1)
        self.assertEqual([first.status_code, second.status_code], [200, 200])
        self.assertEqual(first.content, second.content)
        self.assertNotIn("idempotency-replayed", first.headers)
        self.assertEqual(second.headers["idempotency-replayed"], "true")
        self.assertEqual(self.run_count("award 1"), 1)

    def test_refuses_other_body_under_same_key(self):
        self.call("reuse", "award 2")
        response = self.call("reuse", "award 3", gateway=1)
        self.assertEqual(response.status_code, 422)
        self.assertEqual(response.json()["code"], "key-reused")
        self.assertEqual(self.run_count("award 3"), 0)

    def test_keys_are_scoped_to_a_workspace(self):
        self.call("apart", "award 4", workspace="clerks")
        self.call("apart", "award 4", workspace="smiths")
        self.assertEqual(self.run_count("award 4"), 2)

    def test_reports_in_progress_while_running(self):
        self.hold(True)
        self.addCleanup(self.hold, False)
        first = self.executor.submit(self.call, "held", "award 5")
        self.wait_until(lambda: self.run_count("award 5") == 1)
        second = self.call("held", "award 5", gateway=1)
        self.assertEqual(second.status_code, 409)
        self.assertEqual(second.json()["code"], "in-progress")
        self.assertIn("retry-after", second.headers)
        self.hold(False)
        self.assertEqual(first.result().status_code, 200)
        self.assertEqual(self.run_count("award 5"), 1)

    def test_recognises_own_claim_after_lost_response(self):
        self.set_platform_fault(mode="lost-answer", write_count=1)
        self.addCleanup(self.set_platform_fault)
        response = self.call("lost", "award 6")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(self.run_count("award 6"), 1)

    def test_does_not_run_while_platform_is_unavailable(self):
        self.set_platform_fault(mode="outage")
        self.addCleanup(self.set_platform_fault)
        response = self.call("outage", "award 7")
        self.assertEqual(response.status_code, 503)
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.run_count("award 7"), 0)
        self.set_platform_fault()
        response = self.retry_while_in_progress("outage", "award 7", 1)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(self.run_count("award 7"), 1)

    def test_gateway_killed_before_response(self):
        extra_gateway = self.deployment.start_gateway(2)
        self.deployment.gateways.append(extra_gateway)
        self.addCleanup(self.deployment.gateways.remove, extra_gateway)
        self.wait_until(lambda: self.call("warm", "w", 2).status_code == 200)
        self.hold(True)
        self.addCleanup(self.hold, False)
        interrupted_call = self.executor.submit(
            self.call, "killed", "award 8", 2
        )
        self.wait_until(lambda: self.run_count("award 8") == 1)
        extra_gateway.kill()
        with self.assertRaises(httpx.HTTPError):
            interrupted_call.result()
        response = self.call("killed", "award 8")
        self.assertEqual(response.json()["code"], "in-progress")
        self.hold(False)
        response = self.retry_while_in_progress("killed", "award 8", 1)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.headers["idempotency-replayed"], "true")
        self.assertEqual(self.run_count("award 8"), 1)

    def test_gateway_frozen_after_claim(self):
        extra_gateway = self.deployment.start_gateway(2)
        self.deployment.gateways.append(extra_gateway)
        self.addCleanup(extra_gateway.stop)
        self.addCleanup(self.deployment.gateways.remove, extra_gateway)
        self.wait_until(lambda: self.call("warm", "w", 2).status_code == 200)
        self.set_platform_fault(mode="slow", delay_s=0.5)
        self.addCleanup(self.set_platform_fault)
        writes_before = self.platform_write_count()
        resumed_call = self.executor.submit(self.call, "frozen", "award 9", 2)
        self.wait_until(lambda: self.platform_write_count() > writes_before)
        extra_gateway.send_signal(signal.SIGSTOP)
        self.addCleanup(extra_gateway.send_signal, signal.SIGCONT)
        self.set_platform_fault()
        response = self.retry_while_in_progress("frozen", "award 9", 0)
        self.assertEqual(response.status_code, 200)
        extra_gateway.send_signal(signal.SIGCONT)
        self.assertIn(resumed_call.result().status_code, (200, 409))
        self.assertEqual(self.run_count("award 9"), 1)

    def platform_write_count(self):
        url = self.deployment.platform.http_url()
        return httpx.get(f"{url}/standin/calls").json().get("put", 0)


class SidecarKilledTest(unittest.TestCase):
    def test_outcome_is_unknown_and_call_is_not_repeated(self):
        deployment = local_deployment.LocalDeployment(_SHAPE)
        self.addCleanup(deployment.stop)
        deployment.start()
        for endpoint in deployment.plain_endpoints:
            httpx.post(
                f"{endpoint.http_url()}/standin/modes", json={"hold": True}
            )

        def call(gateway):
            return httpx.post(
                deployment.gateways[gateway].http_url() + _CALL_PATH,
                headers={
                    **local_deployment.caller_headers("clerks"),
                    "Idempotency-Key": "sidecar",
                },
                content="award",
                timeout=_WAIT_TIMEOUT_S,
            )

        def run_count():
            return sum(
                httpx.get(f"{endpoint.http_url()}/standin/runs")
                .json()
                .get("award", 0)
                for endpoint in deployment.plain_endpoints
            )

        with concurrent.futures.ThreadPoolExecutor() as executor:
            first = executor.submit(call, 0)
            while not run_count():
                time.sleep(0.02)
            for sidecar in deployment.sidecars:
                sidecar.kill()
            self.assertEqual(first.result().json()["code"], "outcome-unknown")
        self.assertEqual(call(1).json()["code"], "outcome-unknown")
        self.assertEqual(run_count(), 1)


if __name__ == "__main__":
    unittest.main()
