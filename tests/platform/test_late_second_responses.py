"""Tests of second responses that arrive where the next one is due.

A faulty endpoint may send a response once more, late. The response to the next
request on the connection follows it.
"""

import asyncio
import unittest

from bronzeslip.forwarding import endpoint_errors
from tests.support import raw_endpoint
from tests.support import raw_server

_FAILED = b"500 Internal Server Error"
# Far below the time limit of a request.
_IMMEDIATE_S = 1.0


def _response(request_id, status=b"200 OK", body=b"body"):
    return raw_server.create_response(
        body, status, b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
    )


_FIRST = _response(b"q1", body=b"first")
_OWN = _response(b"q2", _FAILED, b"own")
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nBronzeslip-Attempt-Id: q1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
)
_NO_CONTENT = b"HTTP/1.1 204 No Content\r\nBronzeslip-Attempt-Id: q1\r\n\r\n"
_UNFRAMED = b"HTTP/1.1 200 OK\r\nBronzeslip-Attempt-Id: q1\r\n\r\nfirst"


class LateSecondResponseTest(unittest.IsolatedAsyncioTestCase):
    async def _call_after(self, *scripts):
        """Returns the response to q2, sent after q1 on one connection."""
        self.endpoint = await self.enterAsyncContext(
            raw_endpoint.RawEndpoint(_FIRST, *scripts)
        )
        await self.endpoint.call("q1")
        return await self.endpoint.call("q2")

    # Guards against losing the response to a request, which may not be
    # repeated, because the one to an earlier request came before it.
    async def test_own_response_after_that_of_another_request_is_used(self):
        for extra in (_FIRST, _CHUNKED, _FIRST + _CHUNKED, _NO_CONTENT):
            with self.subTest(extra=extra):
                response = await self._call_after(extra + _OWN)
                self.assertEqual(response.head.status, 500)
                self.assertEqual(response.body, b"own")
                self.assertEqual(self.endpoint.server.connection_count, 1)

    async def test_connection_is_kept_after_a_skipped_response(self):
        await self._call_after(_FIRST + _OWN, _response(b"q3"))
        response = await self.endpoint.call("q3")
        self.assertEqual(response.head.origin.response_number, 4)
        self.assertEqual(self.endpoint.server.connection_count, 1)

    # Guards against reading responses to other requests without an end.
    async def test_many_responses_to_other_requests_are_given_up(self):
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call_after(10 * _FIRST + _OWN)

    async def test_large_response_to_another_request_is_given_up(self):
        large = _response(b"q1", body=300_000 * b"x")
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call_after(large + _OWN)

    # Guards against taking the end of a response that was cut off for the
    # beginning of the next.
    async def test_cut_body_of_another_request_loses_the_response(self):
        for extra in (_FIRST, _CHUNKED):
            head_length = extra.index(b"\r\n\r\n") + 4
            for cut in range(head_length, len(extra)):
                with (
                    self.subTest(extra=extra, cut=cut),
                    self.assertRaises(
                        endpoint_errors.EndpointResponseLostError
                    ),
                ):
                    await self._call_after(extra[:cut] + _OWN)

    async def _assert_lost_at_once(self, *scripts):
        """Asserts that q2 is lost while its connection stays open."""
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await asyncio.wait_for(
                self._call_after(*scripts, raw_server.NO_RESPONSE), _IMMEDIATE_S
            )

    # Guards against a success in place of a failure: a response that was cut
    # off takes in the own one, and a second one of the same id follows.
    async def test_own_response_taken_in_by_a_body_is_not_replaced(self):
        own = _response(b"q2", _FAILED, b"")
        second = _response(b"q2")
        for extra in (
            b"HTTP/1.1 200 OK\r\nBronzeslip-Attempt-Id: q1\r\n"
            b"Content-Length: %d\r\n\r\n" % len(own),
            _CHUNKED.removesuffix(b"\r\n") + b"X-Trailer: v",
            _CHUNKED.removesuffix(b"\r\n\r\n") + b";extension",
        ):
            with self.subTest(extra=extra):
                await self._assert_lost_at_once(extra + own + second)

    # Guards against waiting until the deadline for a response that was taken
    # in by a longer one that was cut off, or by one to HEAD.
    async def test_own_response_taken_in_by_a_body_is_not_awaited(self):
        cut = _response(b"q1", body=1000 * b"x")[:-900]
        to_head = _response(b"q1", body=1000 * b"x")[:-1000]
        for extra in (cut, to_head):
            with self.subTest(extra=extra):
                await self._assert_lost_at_once(extra + _OWN)

    # Guards against reading a response that ends with its connection, as its
    # end is unknown.
    async def test_response_after_one_without_a_length_is_lost(self):
        script = _UNFRAMED + _OWN + b"connection: close"
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call_after(script)

    # Guards against an error of the HTTP library in place of a lost response,
    # after one that announces the end of its connection.
    async def test_response_after_the_last_of_a_connection_is_lost(self):
        closing = _FIRST.replace(b"Keep-Alive: timeout=5", b"Connection: close")
        outdated = _FIRST.replace(b"HTTP/1.1", b"HTTP/1.0")
        for extra in (closing, outdated):
            with self.subTest(extra=extra):
                await self._assert_lost_at_once(extra + _OWN)

    # Guards against waiting for the end of such a response, which comes when
    # the endpoint closes the idle connection.
    async def test_response_without_a_length_is_given_up_at_once(self):
        await self._assert_lost_at_once(_UNFRAMED)

    # Guards against waiting until the deadline after the own response, because
    # it states its request twice.
    async def test_response_that_names_its_request_twice_is_not_skipped(self):
        for values in (b"q2\r\nBronzeslip-Attempt-Id: q2", b"q1, q2"):
            with self.subTest(values=values):
                await self._assert_lost_at_once(_response(values))


if __name__ == "__main__":
    unittest.main()
