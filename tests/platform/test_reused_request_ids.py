"""Tests of requests with the id of an earlier one, over loopback.

A faulty endpoint may send a response once more. It can't be told from the
response to a later request that has the same id.
"""

import unittest

from tests.support import raw_endpoint
from tests.support import raw_server


def _response(request_id, status, body):
    return raw_server.create_response(
        body, status, b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
    )


_FIRST = _response(b"q1", b"200 OK", b"first")
_FAILED = _response(b"q1", b"500 Internal Server Error", b"second")


class ReusedRequestIdTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a success that belongs to an earlier request with the same
    # id, in place of the failure of the later one.
    async def test_id_is_not_sent_again_where_it_has_succeeded(self):
        scripts = (_FIRST, _response(b"q2", b"200 OK", b""), _FAILED)
        async with raw_endpoint.RawEndpoint(*scripts) as endpoint:
            await endpoint.call("q1")
            await endpoint.call("q2")
            response = await endpoint.call("q1")
            self.assertEqual(response.head.origin.response_number, 1)
            self.assertEqual(response.head.status, 500)
            self.assertEqual(endpoint.server.connection_count, 2)

    # Guards against a connection that holds the ids of all its requests.
    async def test_ids_of_early_requests_are_discarded(self):
        scripts = [
            _response(b"q%d" % (number % 200), b"200 OK", b"")
            for number in range(201)
        ]
        async with raw_endpoint.RawEndpoint(*scripts) as endpoint:
            for number in range(201):
                await endpoint.call(f"q{number % 200}")
            self.assertEqual(endpoint.server.connection_count, 1)


if __name__ == "__main__":
    unittest.main()
