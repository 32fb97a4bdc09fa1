"""Tests of the rollout of a model version to engines that serve requests."""

import dataclasses
import time
import unittest

import httpx

from tools import local_deployment
from tools import shapes

_SHAPE = dataclasses.replace(
    shapes.MIDLANDS, regions=("brum",), engine_count=3, plain_count=0
)
_WAIT_TIMEOUT_S = 40.0


class RolloutTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            _SHAPE,
            gateway_count=1,
            sidecar_flags=(
                "--order-check-interval-s=0.2",
                "--order-lease-ttl-s=2",
            ),
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def assign(self, version, base_number):
        pool = {"assignment": {"model": _SHAPE.model, "model_version": version}}
        patch = {"pools": {_SHAPE.engine_pool: pool}}
        return self.deployment.submit(patch, base_number)

    def versions(self):
        return [
            httpx.get(f"{engine.http_url()}/v1/state").json()["model_version"]
            for engine in self.deployment.engines
        ]

    def complete(self):
        gateway = self.deployment.gateways[0]
        response = httpx.post(
            f"{gateway.http_url()}/v1/completions",
            headers=local_deployment.caller_headers("smiths"),
            json={"model": _SHAPE.model, "prompt": "#length=5"},
        )
        return response.status_code

    def serve_until(self, version):
        """Sends requests until every engine has loaded a model version."""
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while set(self.versions()) != {version}:
            self.assertEqual(self.complete(), httpx.codes.OK)
            self.assertLess(time.monotonic(), end_s, self.versions())

    def test_rollout_continues_after_a_sidecar_is_killed(self):
        number = self.assign("2", 1)
        self.serve_until("2")
        self.deployment.sidecars[0].kill()
        self.assign("3", number)
        sidecars = self.deployment.sidecars
        sidecars[0] = sidecars[0].start_again()
        self.serve_until("3")


if __name__ == "__main__":
    unittest.main()
