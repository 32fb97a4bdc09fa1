"""Tests of what is logged about the origin of a response, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import request_ledger
from bronzeslip.metrics import entry_metrics
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import log_capture
from tests.support import raw_endpoint
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
        self.endpoint = await self.enterAsyncContext(
            raw_endpoint.RawEndpoint(
                _response(b"q1"), _response(b"q2"), _response(b"q2")
            )
        )

    async def test_settled_request_names_the_response_it_received(self):
        await self.endpoint.call("q1")
        response = await self.endpoint.call("q2")
        ledger = request_ledger.RequestLedger(
            entry_metrics.EntryMetrics(
                current.CurrentTable(),
                directory.EndpointDirectory(forwarding_parts.SETTINGS),
            )
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
        first = await self.endpoint.call("q1")
        await self.endpoint.call("q2")
        with (
            log_capture.capture() as log,
            self.assertRaises(endpoint_errors.EndpointResponseLostError),
        ):
            await self.endpoint.call("q3")
        line = log.single("endpoint.unmatched_answer", request="q3")
        self.assertEqual(line["echoed"], "q2")
        self.assertEqual(line["stamp"], "s-q2")
        self.assertEqual(
            line["connection"], first.head.origin.connection_number
        )
        self.assertEqual(line["response"], 3)


if __name__ == "__main__":
    unittest.main()
