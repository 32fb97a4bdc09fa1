"""Tests of responses with an encoding, over loopback."""

import gzip
import unittest

from tests.support import call_runners
from tests.support import raw_server

_BODY = gzip.compress(b"own")


class EncodedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = raw_server.RawServer(
            raw_server.create_response(
                _BODY, headers=b"Content-Encoding: gzip\r\n"
            )
        )
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.runner = call_runners.create(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.runner.close)

    # Guards against a body that its caller can't decode, as it was decoded
    # before.
    async def test_body_is_not_modified(self):
        outcome = await self.runner.run(call_runners.create_start("/x"))
        self.assertEqual(outcome.body, _BODY)
        values = {field.name: field.value for field in outcome.headers}
        self.assertEqual(values["content-encoding"], "gzip")

    async def test_no_encoding_is_requested(self):
        await self.runner.run(call_runners.create_start("/x"))
        (request,) = self.server.requests
        self.assertIn(b"accept-encoding: identity\r\n", request.lower())


if __name__ == "__main__":
    unittest.main()
