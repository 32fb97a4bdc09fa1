"""Tests of bronzeslip.forwarding.excluded_endpoints with many endpoints."""

import unittest
from unittest import mock

import msgspec

from bronzeslip.forwarding import excluded_endpoints
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_COLD_COUNT = 100
_SERVICE = msgspec.structs.replace(
    forwarding_parts.CALL_SERVICE, cold_s=1.0, cold_per_s=1.0
)


class ManyColdEndpointsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.endpoints = [
            forwarding_parts.create_endpoint(f"cold-{number}", "a-1", "desk")
            for number in range(_COLD_COUNT)
        ]
        self.shared = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}), self.endpoints
        )
        self.cold = self.shared.endpoints.cold_endpoints
        for candidate in self.endpoints:
            self.cold.put(candidate, 1)
        self.request = forwarding_parts.admit(
            forwarding_parts.create_request(),
            kind.RequestKind.IDEMPOTENT,
            _SERVICE,
        )

    def _create(self):
        return excluded_endpoints.ExcludedEndpoints(
            {"tried"}, self.shared.cold_limits, self.request
        )

    # Guards against a cost of each request for all endpoints of a service,
    # where the excluded ones are stated to a coordinator.
    async def test_listing_looks_up_only_endpoints_that_were_used(self):
        limits = self.shared.cold_limits
        await limits.acquire(self.endpoints[0], self.request)
        with mock.patch.object(
            self.cold, "remaining_s", wraps=self.cold.remaining_s
        ) as looked_up:
            self.assertEqual(frozenset(self._create()), {"tried", "cold-0"})
        self.assertLess(looked_up.call_count, 5)

    # Guards against endpoints that stay excluded when they are warm or gone.
    async def test_endpoints_that_are_gone_or_warm_are_not_listed(self):
        limits = self.shared.cold_limits
        for candidate in self.endpoints[:2]:
            await limits.acquire(candidate, self.request)
        self.assertEqual(len(self._create()), 3)
        limits.remove(self.endpoints[0])
        self.cold.remove(self.endpoints[1])
        self.assertEqual(list(self._create()), ["tried"])


if __name__ == "__main__":
    unittest.main()
