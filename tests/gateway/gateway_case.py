"""Base class of tests that send requests to a gateway's application."""

import typing
import unittest

import httpx

from bronzeslip import ids
from bronzeslip.configuration import document
from bronzeslip.configuration import record
from tests.support import gateway_app
from tools import declarations
from tools import shapes

CALLER = {"Authorization": "Bearer smiths-key"}
OPERATOR = {"Authorization": f"Bearer {declarations.OPERATOR_CREDENTIAL}"}

CHAT_PATH = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "x"}]


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    settings: typing.ClassVar = {}

    async def asyncSetUp(self):
        self.state = gateway_app.create_state(**self.settings)
        tree = declarations.document_of(shapes.MIDLANDS)
        await self.state.configuration.activate(
            record.ConfigurationRecord(
                ids.ConfigurationNumber(1), document.parse(tree)
            )
        )
        self.client = httpx.AsyncClient(
            transport=gateway_app.create_transport(self.state),
            base_url=gateway_app.URL,
        )
        self.addAsyncCleanup(self.client.aclose)

    def assert_problem(self, response, status, code, text=""):
        self.assertEqual(response.status_code, status, response.text)
        self.assertEqual(
            response.headers["content-type"], "application/problem+json"
        )
        problem = response.json()
        self.assertEqual(problem["code"], code)
        self.assertEqual(problem["status"], status)
        self.assertEqual(problem["type"], f"urn:bronzeslip:problem:{code}")
        self.assertIn(text, problem["detail"])
        self.assertEqual(problem["error"]["code"], code)
        self.assertEqual(problem["error"]["message"], problem["detail"])
        self.assertTrue(response.headers["x-request-id"])
        return problem


def chat(**fields):
    """Returns the body of a chat request with the given fields changed."""
    return {"model": "tin-drafter", "messages": MESSAGES, **fields}
