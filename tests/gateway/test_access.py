"""Tests of credentials of callers and operators."""

from tests.gateway import gateway_case


class AccessTest(gateway_case.GatewayCase):
    async def test_unknown_credentials(self):
        for value in (
            None,
            "",
            "Bearer",
            "Bearer ",
            "Bearer wrong",
            "Basic c21pdGhzLWtleQ==",
            "smiths-key",
            "Bearer \u00e9".encode("latin-1"),
        ):
            headers = {} if value is None else {"Authorization": value}
            for method, path in (
                ("POST", gateway_case.CHAT_PATH),
                ("GET", "/v1/models"),
                ("POST", "/v1/services/commissions/x"),
                ("GET", "/v1/configuration"),
            ):
                with self.subTest(value=value, path=path):
                    response = await self.client.request(
                        method,
                        path,
                        headers=headers,
                        json=gateway_case.chat(),
                    )
                    self.assert_problem(response, 401, "unauthorized")
                    self.assertEqual(
                        response.headers["www-authenticate"], "Bearer"
                    )
                    self.assertNotIn("wrong", response.text)

    async def test_caller_and_operator_credentials_are_separate(self):
        response = await self.client.get(
            "/v1/configuration", headers=gateway_case.CALLER
        )
        self.assert_problem(response, 401, "unauthorized")
        response = await self.client.get(
            "/v1/models", headers=gateway_case.OPERATOR
        )
        self.assert_problem(response, 401, "unauthorized")

    async def test_scheme_is_case_insensitive(self):
        response = await self.client.get(
            "/v1/models", headers={"Authorization": "bearer smiths-key"}
        )
        self.assertEqual(response.status_code, 200)
