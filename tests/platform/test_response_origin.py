"""Tests of what is logged about the origin of a response, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import request_ledger
from bronzeslip.metrics import entry_metrics
from bronzeslip.platform import endpoint_http
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import log_capture
from tests.support import raw_server
from tests.support import scripted_endpoints


def _response(request_id):
    return raw_server.create_response(
        b"ok",
        headers=b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
        b"Bronzeslip-Response-Stamp: s-" + request_id + b"\r\n",
    )


class ResponseOriginTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = raw_server.RawServer(
            _response(b"q1"), _response(b"q2"), _response(b"q2")
        )
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS, self.directory
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    async def _send(self, request_id):
        response = await self.client.send(
            dispatch.Dispatch(
                request=forwarding_parts.create_request(
                    request_id=ids.RequestId(request_id)
                ),
                endpoint=self.endpoint,
                remaining_s=2.0,
            )
        )
        await response.read(100)
        await response.close()
        return response

    async def test_settled_request_names_the_response_it_received(self):
        await self._send("q1")
        response = await self._send("q2")
        ledger = request_ledger.RequestLedger(
            entry_metrics.EntryMetrics(current.CurrentTable(), self.directory)
        )
        reply = scripted_endpoints.RecordedReply()
        admitted = forwarding_parts.admit(
            forwarding_parts.create_request(request_id=ids.RequestId("q2")),
            kind.RequestKind.IDEMPOTENT,
        )
        with (
            log_capture.capture() as log,
            ledger.track_outcome(admitted, reply),
        ):
            await reply.start(response.head)
        line = log.single("request.settled", request="q2")
        self.assertEqual(line["endpoint"], "i-1")
        self.assertEqual(line["status"], 200)
        self.assertEqual(line["stamp"], "s-q2")
        self.assertEqual(line["response"], 2)

    async def test_unmatched_answer_is_logged_with_its_connection(self):
        first = await self._send("q1")
        await self._send("q2")
        with (
            log_capture.capture() as log,
            self.assertRaises(endpoint_errors.EndpointResponseLostError),
        ):
            await self._send("q3")
        line = log.single("endpoint.unmatched_answer", request="q3")
        self.assertEqual(line["echoed"], "q2")
        self.assertEqual(line["stamp"], "s-q2")
        self.assertEqual(
            line["connection"], first.head.origin.connection_number
        )
        self.assertEqual(line["response"], 3)


if __name__ == "__main__":
    unittest.main()
