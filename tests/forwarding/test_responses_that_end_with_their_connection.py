"""Tests of responses with neither a length nor chunks.

The connection of an endpoint that is killed ends like that of one that has sent
its whole response, and so does that of one that exits while it leaves. The end
of such a response counts only if its endpoint is still there.
"""

import unittest

from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def _response(body, framing=body_framing.BodyFraming.CONNECTION_END):
    return scripted_endpoints.ScriptedResponse(200, [body], framing=framing)


class ResponseThatEndsWithItsConnectionTest(unittest.IsolatedAsyncioTestCase):
    def _create(self, service_name, responses, on_sent):
        """Creates a gateway whose n-th chosen endpoint sends response n."""
        responses = list(responses)
        self.client = scripted_endpoints.ScriptedEndpointClient({})

        async def send(outgoing):
            response = responses.pop(0)
            if not self.client.sent:
                on_sent(outgoing.endpoint)
            self.client.sent.append(outgoing)
            return response

        self.client.send = send
        self.components = forwarding_parts.create_components(
            self.client,
            [
                forwarding_parts.create_endpoint(
                    name, service_name=service_name
                )
                for name in ("one", "two")
            ],
        )
        self.reply = scripted_endpoints.RecordedReply()

    async def _serve_stream(self, response, on_sent=lambda _: None):
        self._create("pool", [response], on_sent)
        request = forwarding_parts.admit(
            forwarding_parts.create_request(),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
        )
        await stream_run.StreamRun(self.components, request, self.reply).serve()

    async def _serve_call(self, request_kind, *responses, on_sent=None):
        self._create("desk", responses, on_sent or self._kill)
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), request_kind
        )
        await call_forwarder.CallForwarder(self.components).forward(
            request, self.reply
        )

    def _kill(self, target):
        self.client.absent.add(target.endpoint_id)

    def _leave(self, target):
        self.components.endpoints.put(
            forwarding_parts.create_endpoint(
                target.endpoint_id, state=endpoint.EndpointState.LEAVING
            )
        )

    def _stop_responding(self, target):
        self.client.unresponsive.add(target.endpoint_id)

    async def test_stream_of_an_engine_that_is_there_is_complete(self):
        await self._serve_stream(_response(_EVENTS))
        self.assertTrue(self.reply.is_finished)

    # Guards against ending a stream as complete whose engine was killed between
    # two events.
    async def test_stream_of_an_engine_that_was_killed_is_not_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve_stream(_response(_EVENTS), self._kill)
        self.assertEqual(self.reply.body, _EVENTS)
        self.assertFalse(self.reply.is_finished)

    def _leave_and_exit(self, target):
        self._leave(target)
        self._kill(target)

    async def test_stream_of_an_engine_that_leaves_is_complete(self):
        await self._serve_stream(_response(_EVENTS), self._leave)
        self.assertTrue(self.reply.is_finished)

    # Guards against ending a stream as complete that an engine cut by exiting
    # after it had announced that it leaves.
    async def test_stream_of_an_engine_that_left_is_not_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve_stream(_response(_EVENTS), self._leave_and_exit)
        self.assertEqual(self.reply.body, _EVENTS)
        self.assertFalse(self.reply.is_finished)

    # Guards against the same in the body of a call.
    async def test_call_of_an_endpoint_that_left_is_lost(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._serve_call(
                kind.RequestKind.AT_MOST_ONCE,
                _response(b"par"),
                on_sent=self._leave_and_exit,
            )
        self.assertFalse(self.reply.is_started)

    async def test_engine_that_does_not_respond_may_be_there(self):
        await self._serve_stream(_response(_EVENTS), self._stop_responding)
        self.assertTrue(self.reply.is_finished)

    async def test_framed_stream_is_complete_whatever_happens_to_its_engine(
        self,
    ):
        await self._serve_stream(
            _response(_EVENTS, body_framing.BodyFraming.CHUNKED),
            self._kill,
        )
        self.assertTrue(self.reply.is_finished)

    # Guards against passing on the part of a body that a killed endpoint sent.
    async def test_call_of_an_endpoint_that_was_killed_is_lost(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._serve_call(
                kind.RequestKind.AT_MOST_ONCE, _response(b"par")
            )
        self.assertFalse(self.reply.is_started)

    async def test_idempotent_call_of_a_killed_endpoint_is_sent_again(self):
        await self._serve_call(
            kind.RequestKind.IDEMPOTENT,
            _response(b"par"),
            _response(b"partial no more"),
        )
        self.assertEqual(self.reply.body, b"partial no more")


if __name__ == "__main__":
    unittest.main()
