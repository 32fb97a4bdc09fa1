"""Tests that invalid configuration patches are rejected."""

import unittest

from tests.gateway import gateway_case


class PatchTest(gateway_case.GatewayCase):
    async def submit(self, **fields):
        body = {
            "patch_id": "a" * 32,
            "base_number": 0,
            "operator": "o",
            "patch": {},
            **fields,
        }
        return await self.client.post(
            "/v1/configuration/patches",
            headers=gateway_case.OPERATOR,
            json=body,
        )

    async def test_stale_number_is_reported(self):
        response = await self.submit(base_number=7)
        problem = self.assert_problem(response, 409, "configuration-stale")
        self.assertEqual(problem["current_number"], 0)
        self.assertEqual(response.headers["x-should-retry"], "false")

    async def test_invalid_patches(self):
        for patch in (
            "text",
            None,
            [1],
            {"services": {"s": {"kind": "odd"}}},
            {"workspaces": {"w": {"credentials_sha256": [], "weight": -1}}},
            {"unknown": {"a": 1}},
        ):
            with self.subTest(patch=patch):
                response = await self.submit(patch=patch)
                self.assert_problem(response, 400, "configuration-invalid")

    async def test_wrong_types(self):
        response = await self.submit(base_number="x")
        self.assert_problem(response, 400, "bad-request", "base_number")


if __name__ == "__main__":
    unittest.main()
