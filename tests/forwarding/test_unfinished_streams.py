"""Tests of bronzeslip.forwarding.stream_run on streams that end too early.

A response without a length or chunks ends with its connection, so the end of
the connection of an engine that has crashed looks like the end of its stream. A
stream that ends inside an event must not reach its caller as complete.
"""

import unittest
from unittest import mock

from bronzeslip.forwarding import errors
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_FIRST = b"id: 1\ndata: a\n\n"
_SECOND = b"id: 2\ndata: b\n\n"
_NAMES = ("one", "two")


class UnfinishedStreamTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, *bodies, **route_changes):
        """Serves a stream; the n-th engine that is chosen sends body n."""
        bodies = list(bodies)
        self.client = scripted_endpoints.ScriptedEndpointClient({})

        async def send(outgoing):
            self.client.sent.append(outgoing)
            return scripted_endpoints.ScriptedResponse(200, bodies.pop(0))

        self.client.send = send
        self.components = forwarding_parts.create_components(
            self.client,
            [forwarding_parts.create_endpoint(name) for name in _NAMES],
        )
        request = forwarding_parts.admit(
            forwarding_parts.create_request(
                shape=prompt.PromptShape("m", 2000, 40, 10)
            ),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
            **route_changes,
        )
        self.reply = scripted_endpoints.RecordedReply()
        await stream_run.StreamRun(self.components, request, self.reply).serve()

    # Guards against ending a stream that broke off inside an event as complete.
    async def test_stream_that_ends_inside_an_event_is_not_complete(self):
        for unfinished in (b"i", b"id: 2\ndata: b", b"id: 2\ndata: b\n"):
            with self.assertRaises(errors.ResponseInterruptedError):
                await self._serve([_FIRST, unfinished])
            self.assertEqual(self.reply.body, _FIRST, unfinished)
            self.assertFalse(self.reply.is_finished, unfinished)

    # Guards against an empty success of an engine that ended before its first
    # event.
    async def test_stream_that_ends_inside_its_first_event_has_not_begun(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._serve([b"id: 1\nda"])
        self.assertFalse(self.reply.is_started)

    async def test_resumable_stream_goes_on_after_its_last_whole_event(self):
        await self._serve(
            [_FIRST, b"id: 2\nda"], [_SECOND], is_resumable=True, max_attempts=2
        )
        self.assertEqual(self.reply.body, _FIRST + _SECOND)
        self.assertTrue(self.reply.is_finished)
        self.assertEqual(self.client.sent[1].after_event_id, "1")

    async def test_engine_that_ends_a_stream_inside_an_event_is_checked(self):
        lost = []
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve_and_record_losses(lost, [_FIRST, b"id: 2\nda"])
        self.assertEqual(len(lost), 1)

    async def _serve_and_record_losses(self, lost, body):
        create = forwarding_parts.create_components

        def create_and_record(*args, **kwargs):
            components = create(*args, **kwargs)
            components.crash_detector.record_lost_response = (
                lambda _, target, *args: lost.append(target.endpoint_id)
            )
            return components

        with mock.patch.object(
            forwarding_parts, "create_components", create_and_record
        ):
            await self._serve(body)

    async def test_stream_that_ends_after_an_event_is_complete(self):
        await self._serve([_FIRST, _SECOND[:5], _SECOND[5:]])
        self.assertEqual(self.reply.body, _FIRST + _SECOND)
        self.assertTrue(self.reply.is_finished)

    async def test_events_may_end_with_carriage_returns(self):
        events = (_FIRST + _SECOND).replace(b"\n", b"\r\n")
        for split in range(len(events)):
            with self.subTest(split=split):
                await self._serve([events[:split], events[split:]])
                self.assertEqual(self.reply.body, events)
                self.assertTrue(self.reply.is_finished)

    async def test_line_ends_after_the_last_event_are_not_an_event(self):
        await self._serve([_FIRST, b"\n"])
        self.assertEqual(self.reply.body, _FIRST + b"\n")
        self.assertTrue(self.reply.is_finished)


if __name__ == "__main__":
    unittest.main()
