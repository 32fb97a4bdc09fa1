"""Tests of the routes of plain services."""

import types
import unittest

from bronzeslip.gateway import call_response
from bronzeslip.transport.frames import call as frames
from tests.gateway import gateway_case

_PREFIX = "/v1/services/commissions"


class TargetTest(gateway_case.GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.targets = []
        self.fields = ()
        self.state.create_claimed_call_session = (
            self.create_claimed_call_session
        )

    def create_claimed_call_session(self, context, call, key):
        async def run():
            self.targets.append(call.path)
            return call_response.CallResponse(204, self.fields, b"", False)

        return types.SimpleNamespace(run=run)

    async def call(self, target):
        headers = {**gateway_case.CALLER, "Idempotency-Key": "k"}
        return await self.client.post(_PREFIX + target, headers=headers)

    async def test_target_is_forwarded_unchanged(self):
        for target in ("/a%2Fb%3Fc%23d?year=1&x=%26", "/%C3%A9", "/a//b"):
            with self.subTest(target=target):
                response = await self.call(target)
                self.assertEqual(response.status_code, 204, response.text)
                self.assertEqual(self.targets.pop(), target)
                self.assertTrue(response.headers["x-request-id"])

    # Guards against passing on fields that hold for the connection between
    # sidecar and endpoint only.
    async def test_fields_of_one_connection_are_not_passed_on(self):
        self.fields = tuple(
            frames.Header(name, value)
            for name, value in (
                ("connection", "x-hop"),
                ("keep-alive", "timeout=5"),
                ("upgrade", "h2c"),
                ("x-hop", "1"),
                ("x-end", "2"),
            )
        )
        response = await self.call("/a")
        self.assertEqual(response.headers["x-end"], "2")
        for name in ("connection", "keep-alive", "upgrade", "x-hop"):
            self.assertNotIn(name, response.headers)

    async def test_dot_segments_are_refused(self):
        for target in ("/%2e%2e/x", "/a/%2E/b", "/a/.%2e"):
            with self.subTest(target=target):
                response = await self.call(target)
                self.assert_problem(response, 400, "bad-request", "segment")
        self.assertEqual(self.targets, [])

    async def test_generation_service_is_not_a_plain_service(self):
        response = await self.client.post(
            "/v1/services/drafts/x", headers=gateway_case.CALLER
        )
        self.assert_problem(response, 404, "service-not-found")


if __name__ == "__main__":
    unittest.main()
