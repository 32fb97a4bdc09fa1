"""Tests of responses of which only the beginning is buffered."""

import unittest

import msgspec

from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_CHUNK = b"x" * 64 * 1024
_MAX_BYTES = forwarding_parts.SETTINGS.response_max_bytes
_CHUNKS = [_CHUNK] * (3 * _MAX_BYTES // len(_CHUNK))
_SIZE_BYTES = len(_CHUNK) * len(_CHUNKS)


def _response(chunks, size_bytes=None, status=200):
    length, chunked = (
        body_framing.BodyFraming.LENGTH,
        body_framing.BodyFraming.CHUNKED,
    )
    response = scripted_endpoints.ScriptedResponse(
        status, chunks, framing=length if size_bytes else chunked
    )
    response.head = msgspec.structs.replace(
        response.head, content_length=size_bytes
    )
    return response


class _MeasuringReply(scripted_endpoints.RecordedReply):
    """Reply that records the memory reserved while it is sent."""

    reserved_bytes = 0

    async def write(self, body):
        await super().write(body)
        self.reserved_bytes = self.memory.size_bytes


class ResponsesLargerThanTheBufferTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, *responses, request_kind=kind.RequestKind.IDEMPOTENT):
        self.responses = responses
        names = ["one", "two"][: len(responses)]
        self.components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient(
                {
                    name: [response]
                    for name, response in zip(names, responses, strict=True)
                }
            ),
            [
                forwarding_parts.create_endpoint(name, service_name="desk")
                for name in names
            ],
        )
        self.reply = _MeasuringReply()
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), request_kind
        )
        await call_forwarder.CallForwarder(self.components).forward(
            request, self.reply
        )

    # Guards against discarding valid responses because of their size.
    async def test_response_is_relayed_with_its_length(self):
        for size_bytes in (_SIZE_BYTES, None):
            with self.subTest(size_bytes=size_bytes):
                response = _response(_CHUNKS, size_bytes)
                await self.serve(response)
                self.assertEqual(len(self.reply.body), _SIZE_BYTES)
                self.assertEqual(self.reply.head.content_length, size_bytes)
                self.assertTrue(self.reply.is_finished)
                self.assertTrue(response.is_closed)
                # What has been relayed is not held.
                self.assertLess(self.reply.reserved_bytes, _MAX_BYTES)

    # Guards against presenting a truncated response as a complete one, and
    # against a second run of a request whose caller has part of a response.
    async def test_truncated_response_is_left_incomplete(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.serve(_response(_CHUNKS[:-1], _SIZE_BYTES))
        self.assertTrue(self.reply.is_started)
        self.assertFalse(self.reply.is_finished)
        self.assertTrue(self.responses[0].is_closed)

    async def test_large_error_response_leads_to_another_attempt(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.serve(
                _response(_CHUNKS, _SIZE_BYTES, status=500),
                _response(_CHUNKS, _SIZE_BYTES, status=500),
            )
        self.assertFalse(self.reply.is_started)
        for response in self.responses:
            self.assertTrue(response.is_closed)


if __name__ == "__main__":
    unittest.main()
