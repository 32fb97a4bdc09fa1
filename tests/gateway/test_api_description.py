"""Tests of the OpenAPI document."""

import re
import unittest

from tests.gateway import gateway_case

_BODIES = {
    "/v1/chat/completions": "ChatRequest",
    "/v1/completions": "CompletionRequest",
    "/v1/configuration/patches": "PatchRequest",
}


class ApiDescriptionTest(gateway_case.GatewayCase):
    async def document(self):
        response = await self.client.get("/schema/openapi.json")
        self.assertEqual(response.status_code, 200)
        return response.json()

    async def test_document_is_served(self):
        response = await self.client.get("/schema")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.json(), await self.document())

    async def test_lists_every_route(self):
        paths = (await self.document())["paths"]
        self.assertLessEqual(
            {
                "/v1/models",
                "/v1/services/{service_name}/{path}",
                "/v1/configuration",
                "/v1/configuration/status",
                "/livez",
                "/readyz",
                "/metrics",
                *_BODIES,
            },
            paths.keys(),
        )

    async def test_bodies_and_problems_are_described(self):
        document = await self.document()
        for path, name in _BODIES.items():
            with self.subTest(path=path):
                operation = document["paths"][path]["post"]
                body = operation["requestBody"]["content"]
                self.assertEqual(
                    body["application/json"]["schema"]["$ref"],
                    f"#/components/schemas/{name}",
                )
                problem = operation["responses"]["default"]["content"]
                self.assertEqual(
                    problem["application/problem+json"]["schema"]["$ref"],
                    "#/components/schemas/Problem",
                )
        chat = document["components"]["schemas"]["ChatRequest"]
        self.assertLessEqual({"model", "messages"}, set(chat["required"]))

    async def test_every_reference_resolves(self):
        response = await self.client.get("/schema/openapi.json")
        schemas = response.json()["components"]["schemas"]
        for name in re.findall(r'"#/components/schemas/(\w+)"', response.text):
            self.assertIn(name, schemas)


if __name__ == "__main__":
    unittest.main()
