"""Tests of second responses that break off before the next one, over loopback.

A faulty endpoint may send a response once more and stop inside its head. The
next response on the connection then follows without a boundary.
"""

import asyncio
import itertools
import unittest

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from tests.support import raw_endpoint
from tests.support import raw_server

# Time in which bytes that follow a response arrive.
_ARRIVAL_S = 0.02
_OK = b"200 OK"
_FAILED = b"500 Internal Server Error"
_REFUSED = b"503 Service Unavailable"


def _response(request_id, status, fields=b""):
    return raw_server.create_response(
        b"body of " + request_id,
        status,
        fields + b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
        b"Bronzeslip-Response-Stamp: stamp of " + request_id + b"\r\n",
    )


def _head_length(response):
    return response.index(b"\r\n\r\n")


class ResponseOfPartsTest(unittest.IsolatedAsyncioTestCase):
    async def _start_endpoint(self, *scripts):
        self.endpoint = await self.enterAsyncContext(
            raw_endpoint.RawEndpoint(*scripts)
        )

    async def _is_merged(self, second, *scripts):
        """Returns whether q2 gets a response that its endpoint did not send.

        Args:
            second: Whole response to q2.
            *scripts: What the endpoint sends for each request.
        """
        await self._start_endpoint(*scripts)
        first_call = await self.endpoint.call("q1")
        self.assertEqual(first_call.body, b"body of q1")
        await asyncio.sleep(_ARRIVAL_S)
        try:
            second_call = await asyncio.wait_for(self.endpoint.call("q2"), 2.0)
        except endpoint_errors.EndpointResponseLostError:
            return False
        status_line = b"HTTP/1.1 %d " % second_call.head.status
        return (
            not second.startswith(status_line)
            or second_call.body != b"body of q2"
        )

    # Guards against a success made up of the status of an earlier response that
    # came twice and broke off, and of the failure that follows it.
    async def test_success_is_not_merged_with_the_failure_after_it(self):
        first = _response(b"q1", _OK)
        second = _response(b"q2", _FAILED)
        merged_cuts = [
            cut
            for cut in range(1, _head_length(first))
            if await self._is_merged(second, first, first[:cut] + second)
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against the same if the part was received with the response before.
    async def test_success_received_early_is_not_merged(self):
        first = _response(b"q1", _OK)
        second = _response(b"q2", _FAILED)
        merged_cuts = [
            cut
            for cut in range(1, _head_length(first), 3)
            if await self._is_merged(
                second, first + first[:cut], second, second
            )
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against the same if the part arrives in two halves, before and
    # after the next request.
    async def test_success_received_in_halves_is_not_merged(self):
        first = _response(b"q1", _OK)
        second = _response(b"q2", _FAILED)
        cuts = range(2, _head_length(first), 5)
        merged_cuts = [
            (middle, cut)
            for middle, cut in itertools.combinations(cuts, 2)
            if await self._is_merged(
                second,
                first + first[:middle],
                first[middle:cut] + second,
                second,
            )
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against a failure that is lost in the head of an interim response
    # that broke off, and a success of the same id that is taken in its place.
    async def test_failure_is_not_merged_with_an_interim_response(self):
        first = _response(b"q1", _OK)
        failure = (
            b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n"
            b"Bronzeslip-Attempt-Id: q2\r\n\r\n"
        )
        second = _response(b"q2", _OK)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        merged_cuts = [
            cut
            for cut in range(1, _head_length(interim))
            if await self._is_merged(
                failure, first, interim[:cut] + failure + second
            )
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against a success whose body broke off and goes on with the bytes
    # of another response.
    async def test_body_is_not_merged_with_another_response(self):
        other = _response(b"q1", _OK)
        merged_lengths = [
            length
            for length in range(1, len(other) + 1)
            if await self._is_body_merged(length, other)
        ]
        self.assertEqual(merged_lengths, [])

    async def _is_body_merged(self, missing_bytes, other):
        """Returns whether q1 gets a body that goes on with another response."""
        own = raw_server.create_response(
            missing_bytes * b"x", headers=b"Bronzeslip-Attempt-Id: q1\r\n"
        )
        await self._start_endpoint(own[:-missing_bytes] + other)
        try:
            response = await self.endpoint.call("q1")
        except endpoint_errors.EndpointResponseLostError:
            return False
        return response.body != missing_bytes * b"x"

    async def test_response_after_interim_ones_is_used(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        await self._start_endpoint(2 * interim + _response(b"q1", _OK))
        self.assertEqual((await self.endpoint.call("q1")).body, b"body of q1")

    # Guards against waiting until the deadline for a response whose head was
    # lost in that of an interim one.
    async def test_failure_merged_with_an_interim_response_is_not_awaited(self):
        failure = (
            b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n"
            b"Bronzeslip-Attempt-Id: q1\r\n\r\n"
        )
        await self._start_endpoint(
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>" + failure,
            raw_server.NO_RESPONSE,
        )
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await asyncio.wait_for(self.endpoint.call("q1"), 1.0)

    async def _verdict_after(self, first, next_bytes):
        """Returns what the response to q2 states, or None if it is lost."""
        await self._start_endpoint(first, next_bytes)
        refusal = await self.endpoint.send("q1")
        await refusal.close()
        try:
            response = await asyncio.wait_for(self.endpoint.send("q2"), 2.0)
        except endpoint_errors.EndpointResponseLostError:
            return None
        await response.close()
        return response.verdict

    # Guards against telling a caller "not run" of a request that has run, by
    # the beginning of an earlier refusal.
    async def test_refusal_is_not_merged_with_the_success_after_it(self):
        first = _response(
            b"q1",
            _REFUSED,
            b"Bronzeslip-Not-Executed: 1\r\nX-Reason: queue is full\r\n",
        )
        second = _response(b"q2", _OK)
        merged_cuts = [
            cut
            for cut in range(1, _head_length(first))
            if await self._verdict_after(first, first[:cut] + second)
            not in (None, endpoint_client.RunVerdict.MAY_HAVE_RUN)
        ]
        self.assertEqual(merged_cuts, [])

    # Guards against a success that follows a failure, whose head is part of an
    # interim one that broke off.
    async def test_failure_in_an_interim_head_is_not_skipped(self):
        own = (
            b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
            b"Bronzeslip-Attempt-Id: q1\r\n\r\n"
        )
        for interim in (
            b"HTTP/1.1 103 Early",
            b"HTTP/1.1 103 Early Hints\r\nLink: a",
        ):
            with self.subTest(interim=interim):
                await self._start_endpoint(
                    interim + own + _response(b"q1", _OK)
                )
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await self.endpoint.call("q1")

    async def test_complete_interim_responses_are_skipped(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        await self._start_endpoint(2 * interim + _response(b"q1", _OK))
        response = await self.endpoint.call("q1")
        self.assertEqual(response.body, b"body of q1")


if __name__ == "__main__":
    unittest.main()
