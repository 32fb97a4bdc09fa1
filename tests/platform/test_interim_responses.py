"""Tests of interim responses and trailers that break off, over loopback.

A faulty endpoint may stop inside the head of an interim response, or of the
trailer of an earlier one. The next response follows without a boundary.
"""

import unittest

from bronzeslip.forwarding import endpoint_errors
from tests.support import raw_endpoint
from tests.support import raw_server

_OK = b"200 OK"
_FAILED = b"500 Internal Server Error"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nBronzeslip-Attempt-Id: q1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nX-Sum: 1\r\n\r\n"
)


def _response(request_id, status, body=b""):
    return raw_server.create_response(
        body, status, b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
    )


class InterimResponseTest(unittest.IsolatedAsyncioTestCase):
    async def _statuses(self, *scripts):
        """Returns the status of each response, or None if it is lost.

        Args:
            *scripts: What the endpoint sends for each request.
        """
        statuses = []
        async with raw_endpoint.RawEndpoint(*scripts) as endpoint:
            for number in range(1, len(scripts) + 1):
                try:
                    response = await endpoint.call(f"q{number}")
                except endpoint_errors.EndpointResponseLostError:
                    statuses.append(None)
                else:
                    statuses.append(response.head.status)
        return statuses

    async def test_interim_responses_precede_the_final_one(self):
        script = 2 * _INTERIM + _response(b"q1", _FAILED)
        self.assertEqual(await self._statuses(script), [500])

    # Guards against a success in place of a failure that was read as a part of
    # an interim response, where the endpoint answers twice.
    async def test_failure_is_not_merged_with_an_interim_response(self):
        answers = _response(b"q1", _FAILED) + _response(b"q1", _OK)
        merged_cuts = [
            cut
            for cut in range(1, _INTERIM.index(b"\r\n\r\n") + 1)
            if await self._statuses(_INTERIM[:cut] + answers) != [None]
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against the same for the trailer of a response to another request.
    async def test_failure_is_not_merged_with_a_trailer(self):
        answers = _response(b"q2", _FAILED) + _response(b"q2", _OK)
        first = _response(b"q1", _OK)
        trailer = _CHUNKED.index(b"X-Sum")
        merged_cuts = [
            cut
            for cut in range(trailer, _CHUNKED.rindex(b"\r\n\r\n") + 1)
            if await self._statuses(first, _CHUNKED[:cut] + answers)
            != [200, None]
        ]
        self.assertEqual(merged_cuts, [])


if __name__ == "__main__":
    unittest.main()
