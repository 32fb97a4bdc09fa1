"""Tests of bronzeslip.http.internal_app."""

import unittest

import httpx
import litestar
import msgspec

from bronzeslip.http import internal_app
from tests.support import log_capture
from tests.support import nested_json


class _Body(msgspec.Struct):
    number: int


@litestar.post("/numbers")
async def _post_number(data: _Body) -> int:
    return 1 // data.number


class InternalAppTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(internal_app.create(_post_number)),
            base_url="http://internal",
        )
        self.addAsyncCleanup(self.client.aclose)

    # A body that is nested too deeply was answered with status 500.
    async def test_body_that_cannot_be_decoded_is_rejected(self):
        for body in (bytes(nested_json.OBJECT), b"[" * 100_000, b"\xff", b""):
            with self.subTest(body=body[:8]):
                response = await self.client.post("/numbers", content=body)
                self.assertEqual(response.status_code, 400)

    # An unforeseen exception was answered with status 500 and left no trace.
    async def test_unforeseen_exception_is_logged(self):
        with log_capture.capture() as log:
            response = await self.client.post("/numbers", json={"number": 0})
        self.assertEqual(response.status_code, 500)
        line = log.single("http.unexpected_error", route="/numbers")
        self.assertIn("ZeroDivisionError", line["reason"])

    async def test_other_errors_keep_their_status(self):
        self.assertEqual((await self.client.get("/none")).status_code, 404)
        self.assertEqual((await self.client.get("/numbers")).status_code, 405)


if __name__ == "__main__":
    unittest.main()
