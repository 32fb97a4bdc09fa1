"""End-to-end tests of requests through separate processes."""

import unittest

import httpx
import openai

from tools import declarations
from tools import local_deployment
from tools import shapes


class EndToEndTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(shapes.MIDLANDS)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def create_client(self, gateway_index=0):
        url = self.deployment.gateways[gateway_index].http_url()
        credential = declarations.credential_of("smiths")
        return openai.OpenAI(
            base_url=f"{url}/v1", api_key=credential, max_retries=0
        )

    def test_streams_every_token_once_in_order(self):
        for gateway_index in range(2):
            with self.subTest(gateway=gateway_index):
                chunks = list(
                    self.create_client(gateway_index).chat.completions.create(
                        model="tin-drafter",
                        messages=[{"role": "user", "content": "#length=60"}],
                        stream=True,
                        stream_options={"include_usage": True},
                    )
                )
                text = "".join(
                    chunk.choices[0].delta.content or ""
                    for chunk in chunks
                    if chunk.choices
                )
                token_indexes = [
                    int(token.split("-")[1]) for token in text.split()
                ]
                self.assertEqual(token_indexes, list(range(60)))
                self.assertEqual(chunks[-1].usage.completion_tokens, 60)
                self.assertEqual(chunks[-2].choices[0].finish_reason, "stop")

    def test_returns_whole_completion(self):
        response = self.create_client().completions.create(
            model="tin-drafter", prompt="#length=30", max_tokens=10
        )
        self.assertEqual(len(response.choices[0].text.split()), 10)
        self.assertEqual(response.choices[0].finish_reason, "length")

    def test_lists_models(self):
        models = self.create_client().models.list()
        self.assertEqual([model.id for model in models], ["tin-drafter"])

    def test_calls_plain_service(self):
        url = self.deployment.gateways[0].http_url()
        response = httpx.post(
            f"{url}/v1/services/commissions/awards?year=1",
            headers={
                **local_deployment.caller_headers("clerks"),
                "Idempotency-Key": "thin-path",
            },
            content=b"award 7",
        )
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.json()["body"], "award 7")
        self.assertEqual(response.json()["run"], 1)

    def test_rejects_unknown_credential(self):
        url = self.deployment.gateways[0].http_url()
        response = httpx.post(
            f"{url}/v1/completions",
            headers={"Authorization": "Bearer wrong"},
            json={"model": "tin-drafter", "prompt": "x"},
        )
        self.assertEqual(response.status_code, 401)
        self.assertEqual(response.json()["code"], "unauthorized")


if __name__ == "__main__":
    unittest.main()
