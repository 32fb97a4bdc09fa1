"""Callers and operators whose credentials are wrong."""

from tests.gateway import bad_input_case


class AccessTest(bad_input_case.GatewayCase):
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
                ("POST", bad_input_case.CHAT_PATH),
                ("GET", "/v1/models"),
                ("POST", "/v1/services/commissions/x"),
                ("GET", "/v1/configuration"),
            ):
                with self.subTest(value=value, path=path):
                    answer = await self.client.request(
                        method,
                        path,
                        headers=headers,
                        json=bad_input_case.chat(),
                    )
                    self.assert_problem(answer, 401, "unauthorized")
                    self.assertEqual(
                        answer.headers["www-authenticate"], "Bearer"
                    )
                    self.assertNotIn("wrong", answer.text)

    async def test_callers_and_operators_are_apart(self):
        answer = await self.client.get(
            "/v1/configuration", headers=bad_input_case.CALLER
        )
        self.assert_problem(answer, 401, "unauthorized")
        answer = await self.client.get(
            "/v1/models", headers=bad_input_case.OPERATOR
        )
        self.assert_problem(answer, 401, "unauthorized")

    async def test_scheme_is_case_insensitive(self):
        answer = await self.client.get(
            "/v1/models", headers={"Authorization": "bearer smiths-key"}
        )
        self.assertEqual(answer.status_code, 200)
