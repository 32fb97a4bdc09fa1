"""Tests of the call that stops a run at its engine, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import raw_server


class StopRunTest(unittest.IsolatedAsyncioTestCase):
    async def _stop(self, response):
        self.server = raw_server.RawServer(response)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(client.close)
        source = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )
        return await client.copy_run(
            source, ids.RequestId("q1"), source, is_last=True, timeout_s=1.0
        )

    async def test_request_says_that_the_run_stops(self):
        body = b'{"handle":"h1","create_revision":7}'
        result = await self._stop(raw_server.create_response(body))
        self.assertEqual((result.handle, result.events), ("h1", 7))
        self.assertIn(b'"last":true', self.server.requests[0])

    # Guards against taking an engine without the run for one that works on it.
    async def test_engine_without_the_run_is_told_from_a_busy_one(self):
        missing = raw_server.create_response(b"{}", b"404 Not Found")
        with self.assertRaises(endpoint_errors.EndpointNotFoundError):
            await self._stop(missing)
        busy = raw_server.create_response(b"{}", b"409 Conflict")
        with self.assertRaises(endpoint_errors.EndpointRefusedError) as caught:
            await self._stop(busy)
        self.assertNotIsInstance(
            caught.exception, endpoint_errors.EndpointNotFoundError
        )

    # Guards against reading the body of a refused call twice, which never ends
    # and keeps the gateway from serving anything.
    async def test_refused_call_ends(self):
        for fields in (b"", b"Bronzeslip-Not-Executed: 1\r\n"):
            for status in (b"503 Busy", b"429 Busy", b"408 Late"):
                with self.subTest(status=status, fields=fields):
                    refusal = raw_server.create_response(b"{}", status, fields)
                    with self.assertRaises(
                        endpoint_errors.EndpointRefusedError
                    ):
                        await self._stop(refusal)


if __name__ == "__main__":
    unittest.main()
