"""Tests of bronzeslip.entry.explanations_api over loopback."""

import unittest

import httpx

from bronzeslip.entry import explanations_api
from bronzeslip.http import internal_app
from bronzeslip.http import server
from bronzeslip.settings import http
from tests.support import explaining_gateway
from tests.support import forwarding_parts


class ExplanationsApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = explaining_gateway.ExplainingGateway(
            [forwarding_parts.create_endpoint("one")]
        )
        self.gateway.adopt()
        app = internal_app.create(
            explanations_api.handler(self.gateway.explainer)
        )
        peer_server = server.HttpServer(app, http.HttpSettings())
        peer_server.start()
        self.addAsyncCleanup(peer_server.abort)
        self.url = f"http://127.0.0.1:{peer_server.port}/explanations"

    async def _post(self, **changes):
        body = {
            "host": "h.example",
            "path": "/p/x",
            "key": forwarding_parts.API_KEY,
            "prompt_tokens": 1000,
            **changes,
        }
        async with httpx.AsyncClient() as client:
            return await client.post(self.url, json=body)

    # Guards against a view that cannot be encoded, and against a disclosed key.
    async def test_request_is_explained_without_its_key(self):
        response = await self._post()
        self.assertEqual(response.status_code, httpx.codes.OK)
        self.assertNotIn(forwarding_parts.API_KEY, response.text)
        explained = response.json()
        self.assertEqual(explained["route"], "r")
        self.assertEqual(explained["workspace"], "w")
        [service] = explained["services"]
        self.assertEqual(service["decision"]["verdict"], "send")
        self.assertEqual(service["decision"]["endpoint_id"], "one")
        self.assertEqual(service["endpoints"][0]["state"], "ready")

    async def test_refusal_is_an_explanation(self):
        response = await self._post(path="/other")
        self.assertEqual(response.status_code, httpx.codes.OK)
        self.assertEqual(response.json()["refusal"]["status"], 404)

    # Guards against numbers that end the forecast with an error.
    async def test_invalid_requests_are_rejected(self):
        for changes in (
            {"prompt_tokens": -1},
            {"output_tokens": 2**60},
            {"host": None},
            {"key": 1},
        ):
            with self.subTest(**changes):
                response = await self._post(**changes)
                self.assertEqual(response.status_code, httpx.codes.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
