"""Tests of a gateway's application over TCP connections."""

import asyncio
import json
import unittest

import httpx
import openai

from bronzeslip.gateway import app
from bronzeslip.http import server
from tests.gateway import gateway_case

_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
    b"authorization: Bearer smiths-key\r\ncontent-length: 1000\r\n\r\n"
)
_PARTIAL_BODY = b'{"model": "tin-drafter", "prompt": "'


class ConnectionsTest(gateway_case.GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dispatched = []
        original = self.state.create_generation_session
        self.state.create_generation_session = lambda *args: (
            self.dispatched.append(args) or original(*args)
        )
        self.server = server.HttpServer(
            app.create(self.state), self.state.settings
        )
        self.server.start()
        self.addAsyncCleanup(self.server.abort)
        self.url = f"http://127.0.0.1:{self.server.port}"

    async def assert_other_requests_succeed(self):
        async with httpx.AsyncClient(base_url=self.url) as client:
            response = await client.get(
                "/v1/models", headers=gateway_case.CALLER
            )
        self.assertEqual(response.status_code, 200)


class BrokenBodyTest(ConnectionsTest):
    settings = {"body_timeout_s": 0.2}  # noqa: RUF012

    async def open(self, data):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def test_truncated_body(self):
        with self.assertNoLogs(logger="absl", level="ERROR"):
            _, writer = await self.open(_HEAD + _PARTIAL_BODY)
            writer.write_eof()
            writer.close()
            await writer.wait_closed()
            await self.assert_other_requests_succeed()
        self.assertEqual(self.dispatched, [])

    async def test_non_ascii_target(self):
        for target in (b"/a\xff", b"/a?x=\xff"):
            with self.subTest(target=target):
                head = _HEAD.replace(
                    b"/v1/completions", b"/v1/services/commissions" + target
                )
                reader, _ = await self.open(head + b"x" * 1000)
                status_line = await reader.readuntil(b"\r\n")
                self.assertTrue(
                    status_line.startswith(b"HTTP/1.1 400 "), status_line
                )

    async def test_stalled_body(self):
        reader, _ = await self.open(_HEAD + _PARTIAL_BODY)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 408 "), head)
        body = await reader.readuntil(b"}}")
        self.assertEqual(json.loads(body)["code"], "read-timeout")
        await self.assert_other_requests_succeed()
        self.assertEqual(self.dispatched, [])


class OpenAiClientTest(ConnectionsTest):
    async def create(self, key="smiths-key", **changes):
        client = openai.AsyncOpenAI(
            base_url=f"{self.url}/v1", api_key=key, max_retries=0
        )
        payload = {
            "model": "tin-drafter",
            "messages": [{"role": "user", "content": "x"}],
            **changes,
        }
        try:
            await client.chat.completions.create(**payload)
        except openai.APIStatusError as error:
            return error
        finally:
            await client.close()
        raise AssertionError("no error")

    async def test_error_classes(self):
        cases = (
            ({"key": "x"}, openai.AuthenticationError, "unauthorized", None),
            ({"model": "x"}, openai.NotFoundError, "model-not-found", "model"),
            ({"n": 2}, openai.BadRequestError, "bad-request", "n"),
            (
                {"max_tokens": -1},
                openai.BadRequestError,
                "bad-request",
                "max_tokens",
            ),
            ({}, openai.InternalServerError, "not-run", None),
        )
        for changes, error_type, code, param in cases:
            with self.subTest(code=code):
                error = await self.create(**changes)
                self.assertIsInstance(error, error_type)
                self.assertEqual(error.code, code)
                self.assertEqual(error.param, param)
                self.assertTrue(error.type)
                self.assertTrue(error.body["message"])


del ConnectionsTest

if __name__ == "__main__":
    unittest.main()
