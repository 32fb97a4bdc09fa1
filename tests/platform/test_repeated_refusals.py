"""Tests that an endpoint's refusal holds for one request only, over loopback.

A faulty endpoint may send an earlier refusal once more on a kept connection,
where the response to the next request is due. That request may be running.
"""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import raw_server

_MAX_BYTES = 1000
_NOT_RUN = b"Bronzeslip-Not-Executed: 1\r\n"
_REFUSALS = (
    (b"503 Service Unavailable", _NOT_RUN),
    (b"429 Too Many Requests", _NOT_RUN),
    (b"421 Misdirected Request", b""),
)


def _refuse(status, field, request_id=None):
    """Returns a refusal, which names the request if an id is given."""
    if request_id:
        field += b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
    return raw_server.create_response(b"full", status, field)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def _start_server(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    async def _open(self, request_id):
        request = forwarding_parts.create_request(
            request_id=ids.RequestId(request_id)
        )
        return await self.client.send(
            dispatch.Dispatch(
                request=request, endpoint=self.endpoint, remaining_s=2.0
            )
        )

    async def _send(self, request_id):
        """Sends a request; returns what is known about its run."""
        response = await self._open(request_id)
        await response.close()
        return response.verdict

    async def _assert_refused(self, request_id):
        self.assertIsNot(
            await self._send(request_id),
            endpoint_client.RunVerdict.MAY_HAVE_RUN,
        )

    # Guards against telling a caller "not run" by the refusal of an earlier
    # request.
    async def test_refusal_of_an_earlier_request_is_no_response(self):
        for status, field in _REFUSALS:
            with self.subTest(status=status):
                refusal = _refuse(status, field, b"q1")
                await self._start_server(refusal, refusal)
                await self._assert_refused("q1")
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await self._send("q2")
                self.assertEqual(self.server.connection_count, 1)

    # Guards against the same if refusals do not name their request.
    async def test_refusal_without_an_id_is_no_response_on_a_kept_one(self):
        for status, field in _REFUSALS:
            with self.subTest(status=status):
                refusal = _refuse(status, field)
                await self._start_server(refusal, refusal)
                await self._assert_refused("q1")
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await self._send("q2")

    # Guards against the same where the earlier request is the same one, as
    # for a stream that resumes at an engine which was full at first.
    async def test_request_is_not_sent_again_where_it_was_refused(self):
        for status, field in _REFUSALS:
            with self.subTest(status=status):
                refusal = _refuse(status, field, b"q1")
                await self._start_server(2 * refusal, refusal)
                await self._assert_refused("q1")
                await self._assert_refused("q1")
                self.assertEqual(self.server.connection_count, 2)

    # Guards against taking an earlier failure for that of a resumed run, at an
    # engine where the same request has failed before.
    async def test_request_is_not_sent_again_where_it_has_failed(self):
        failure = _refuse(b"500 Internal Server Error", b"", b"q1")
        await self._start_server(failure, failure)
        for _ in range(2):
            response = await self._open("q1")
            await response.read(_MAX_BYTES)
            await response.close()
        self.assertEqual(self.server.connection_count, 2)

    # Guards against the same for an id that is not ASCII.
    async def test_odd_id_is_not_sent_again_where_it_was_refused(self):
        odd_id = "q\u00e9".encode().decode("latin-1")
        refusal = _refuse(*_REFUSALS[0], odd_id.encode("latin-1"))
        await self._start_server(refusal, refusal)
        await self._assert_refused(odd_id)
        await self._assert_refused(odd_id)
        self.assertEqual(self.server.connection_count, 2)

    # Guards against telling a caller "not run" by a status alone, which does
    # not say whether the request has run.
    async def test_status_alone_does_not_state_that_a_request_has_not_run(self):
        for status in (
            b"503 Service Unavailable",
            b"429 Too Many Requests",
            b"408 Request Timeout",
        ):
            with self.subTest(status=status):
                await self._start_server(_refuse(status, b"", b"q1"))
                request = forwarding_parts.create_request()
                response = await self.client.send(
                    dispatch.Dispatch(
                        request=request,
                        endpoint=self.endpoint,
                        remaining_s=2.0,
                    )
                )
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await call_forwarder.raise_if_not_run(response)

    async def test_kept_connection_carries_other_requests(self):
        refusals = [
            _refuse(*_REFUSALS[0], request_id)
            for request_id in (b"q1", b"q2", b"q3")
        ]
        await self._start_server(*refusals)
        for request_id in ("q1", "q2", "q3"):
            await self._assert_refused(request_id)
        self.assertEqual(self.server.connection_count, 1)


if __name__ == "__main__":
    unittest.main()
