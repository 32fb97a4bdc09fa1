"""Tests of bronzeslipctl explain from its arguments to its exit status."""

import io
import json
import pathlib
import tempfile
import unittest

import httpx

from bronzeslip.cli import program
from bronzeslip.entry import explanations_api
from bronzeslip.http import internal_app
from tests.support import explaining_gateway
from tests.support import forwarding_parts

_ADDRESS = "127.0.0.1:7200"


class _GatewayTransport(httpx.AsyncBaseTransport):
    """Passes requests to a gateway that is created within the event loop."""

    def __init__(self):
        self.requests = []

    async def handle_async_request(self, request):
        self.requests.append(request)
        gateway = explaining_gateway.ExplainingGateway(
            [
                forwarding_parts.create_endpoint("one"),
                forwarding_parts.create_endpoint("two", "b-1"),
            ]
        )
        gateway.adopt()
        gateway.components.failures.record_failure("one", 4.0)
        app = internal_app.create(explanations_api.handler(gateway.explainer))
        return await httpx.ASGITransport(app).handle_async_request(request)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.transport = _GatewayTransport()
        self.environment = {
            "BRONZESLIP_PEER_ADDRESS": _ADDRESS,
            "BRONZESLIP_API_KEY": forwarding_parts.API_KEY,
        }

    def _run(self, *argv):
        output, errors = io.StringIO(), io.StringIO()
        run = program.Program(
            self.environment, io.StringIO(), output, errors, self.transport
        )
        status = run.run(["explain", *argv])
        self.output, self.errors = output.getvalue(), errors.getvalue()
        for text in (self.output, self.errors):
            self.assertNotIn(forwarding_parts.API_KEY, text)
        return int(status)

    def test_table_names_the_decision_and_the_endpoints(self):
        self.assertEqual(
            self._run("h.example", "/p/x", "--prompt-tokens", "1000"), 0
        )
        [request] = self.transport.requests
        self.assertEqual(str(request.url), f"http://{_ADDRESS}/explanations")
        self.assertIn("route r, workspace w", self.output)
        self.assertIn("decision: sent to two", self.output)
        self.assertRegex(self.output, r"(?m)^one +ready +a-1 ")

    def test_json_is_one_line(self):
        self._run("h.example", "/p/x", "--output", "json")
        [line] = self.output.splitlines()
        [service] = json.loads(line)["services"]
        self.assertEqual(service["decision"]["endpoint_id"], "two")

    # Guards against a refusal that looks like a failure of the command.
    def test_refusal_is_shown_as_the_decision(self):
        self.assertEqual(self._run("h.example", "/other"), 0)
        self.assertIn("refused with 404 (unknown-route)", self.output)

    def test_key_is_read_from_a_file(self):
        del self.environment["BRONZESLIP_API_KEY"]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "key"
        path.write_text(forwarding_parts.API_KEY + "\n")
        self._run("h.example", "/p/x", "--api-key-file", str(path))
        self.assertIn("workspace w", self.output)
        self.assertEqual(
            self._run("h.example", "/p/x", "--api-key-file", f"{path}-2"), 2
        )

    def test_invalid_token_counts_are_usage_errors(self):
        for count in ("-1", "many", str(2**60)):
            with self.subTest(count=count):
                self.assertEqual(
                    self._run("h.example", "/p/x", f"--prompt-tokens={count}"),
                    2,
                )
                self.assertEqual(self.transport.requests, [])

    def test_invalid_addresses_are_usage_errors(self):
        for address in ("", "gateway", "127.0.0.1:0", "127.0.0.1:7200/x"):
            with self.subTest(address=address):
                self.environment["BRONZESLIP_PEER_ADDRESS"] = address
                self.assertEqual(self._run("h.example", "/p/x"), 2)
                self.assertEqual(self.transport.requests, [])

    # Guards against a traceback where a gateway is older, or another program.
    def test_other_responses_are_errors(self):
        for status, content in (
            (404, b""),
            (500, b""),
            (200, b"{}"),
            (200, b"text"),
        ):
            with self.subTest(status=status, content=content):
                self.transport = httpx.MockTransport(
                    lambda _, s=status, c=content: httpx.Response(s, content=c)
                )
                self.assertEqual(self._run("h.example", "/p/x"), 1)
                self.assertTrue(self.errors)

    def test_gateway_that_does_not_respond(self):
        def fail(request):
            raise httpx.ConnectError("refused", request=request)

        self.transport = httpx.MockTransport(fail)
        self.assertEqual(self._run("h.example", "/p/x"), 5)


if __name__ == "__main__":
    unittest.main()
