"""Tests of reading ahead from the connection to an endpoint, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import read_ahead
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import raw_server

_BODY = b"data: x\n\n" * 100_000


def _response(request_id):
    return raw_server.create_response(
        _BODY, headers=b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
    )


class ReadingAheadTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        endpoints = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS, endpoints
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    async def _read(self, request_id, max_bytes):
        """Reads a response; leaves it after a number of bytes."""
        memory = forwarding_parts.create_response_memory()
        response = await self.client.send(
            dispatch.Dispatch(
                request=forwarding_parts.create_request(
                    request_id=ids.RequestId(request_id)
                ),
                endpoint=self.endpoint,
                remaining_s=5.0,
            )
        )
        body = b""
        try:
            async with read_ahead.ReadAhead(response.chunks(), memory) as ahead:
                async for chunk in ahead.chunks():
                    body += chunk
                    if len(body) >= max_bytes:
                        break
        finally:
            await response.close()
        return body

    # Guards against a connection that is lost, or kept with unread bytes on it,
    # because another task than the one that sent the request reads it.
    async def test_connection_is_kept_only_after_a_complete_response(self):
        await self._start(_response(b"q1"), _response(b"q2"), _response(b"q3"))
        self.assertEqual(await self._read("q1", 2 * len(_BODY)), _BODY)
        await self._read("q2", 100)
        self.assertEqual(self.server.connection_count, 1)
        self.assertEqual(await self._read("q3", 2 * len(_BODY)), _BODY)
        self.assertEqual(self.server.connection_count, 2)

    async def test_truncated_response_is_lost_after_its_last_byte(self):
        await self._start(_response(b"q1")[:-1])
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._read("q1", 2 * len(_BODY))


if __name__ == "__main__":
    unittest.main()
