"""Tests of streams that end with their connection, over loopback.

Such a response has neither a length nor chunks, so only its last event tells
whether it is complete.
"""

import unittest

from bronzeslip.endpoints import directory
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import stream_run
from bronzeslip.platform import endpoint_http
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import raw_server
from tests.support import scripted_endpoints

_HEAD = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    b"Content-Type: text/event-stream\r\nBronzeslip-Attempt-Id: q1\r\n\r\n"
)
_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class UnframedStreamTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, body, resets_connections=False):
        server = raw_server.RawServer(_HEAD + body)
        server.resets_connections = resets_connections
        port = await server.start()
        self.addAsyncCleanup(server.stop)
        client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(client.close)
        target = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )
        request = forwarding_parts.admit(
            forwarding_parts.create_request(
                shape=prompt.PromptShape("m", 2000, 40, 10)
            ),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
        )
        self.reply = scripted_endpoints.RecordedReply()
        components = forwarding_parts.create_components(client, [target])
        await stream_run.StreamRun(components, request, self.reply).serve()

    async def test_stream_that_ends_after_an_event_is_complete(self):
        await self._serve(_EVENTS)
        self.assertEqual(self.reply.body, _EVENTS)
        self.assertTrue(self.reply.is_finished)

    # Guards against ending a stream that broke off inside an event as complete.
    async def test_stream_that_ends_inside_an_event_is_not_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(_EVENTS + b"id: 3\nda")
        self.assertEqual(self.reply.body, _EVENTS)
        self.assertFalse(self.reply.is_finished)

    async def test_stream_without_an_event_is_not_complete(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._serve(b"")
        self.assertFalse(self.reply.is_started)

    async def test_stream_that_is_reset_after_an_event_is_not_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(_EVENTS, resets_connections=True)
        self.assertFalse(self.reply.is_finished)

    # Guards against passing on an extra response as events.
    async def test_stream_with_an_extra_response_is_not_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(_EVENTS + _HEAD + _EVENTS)
        self.assertEqual(self.reply.body, _EVENTS)
        self.assertFalse(self.reply.is_finished)


if __name__ == "__main__":
    unittest.main()
