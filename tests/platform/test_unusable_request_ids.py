"""Tests of responses whose request id is that of no request, over loopback."""

import asyncio
import unittest

from bronzeslip.forwarding import endpoint_errors
from tests.support import raw_endpoint
from tests.support import raw_server

_WAIT_S = 1.0
_FIELD = b"Bronzeslip-Attempt-Id: "


def _response(*request_ids):
    fields = b"".join(_FIELD + value + b"\r\n" for value in request_ids)
    return raw_server.create_response(b"body", headers=fields)


class UnusableRequestIdTest(unittest.IsolatedAsyncioTestCase):
    async def _assert_lost_at_once(self, endpoint, request_id):
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            async with asyncio.timeout(_WAIT_S):
                await endpoint.call(request_id)

    # Guards against a caller that waits until its deadline for another
    # response, as the id in its own was written twice or is empty.
    async def test_response_with_several_ids_or_none_is_lost_at_once(self):
        for request_ids in ((b"q2", b"q2"), (b"q1", b"q2"), (b"",)):
            scripts = (_response(b"q1"), _response(*request_ids), b"unused")
            with self.subTest(request_ids=request_ids):
                async with raw_endpoint.RawEndpoint(*scripts) as endpoint:
                    await endpoint.call("q1")
                    await self._assert_lost_at_once(endpoint, "q2")

    # Guards against the same on a new connection, on which no response to an
    # earlier request can be sent once more.
    async def test_first_response_to_another_request_is_lost_at_once(self):
        scripts = (_response(b"q0"), b"unused")
        async with raw_endpoint.RawEndpoint(*scripts) as endpoint:
            await self._assert_lost_at_once(endpoint, "q1")


if __name__ == "__main__":
    unittest.main()
