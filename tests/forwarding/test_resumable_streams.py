"""Tests of bronzeslip.forwarding.stream_run on routes that may be resumed.

An engine that fails under a short generation must not cost the caller the
answer: the run goes on at another engine after the last event received.
"""

import unittest

from bronzeslip import ids
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_RESPONSE_LOST = endpoint_errors.EndpointResponseLostError("reset")
_FIRST = b"id: 1\ndata: a\n\n"
_SECOND = b"id: 2\ndata: b\n\n"
_NAMES = ("one", "two", "three")


class ResumableStreamTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(
        self, *scripts, has_retry_budget=True, max_output_tokens=40, **changes
    ):
        """Serves a stream; the endpoint that is chosen n-th plays script n."""
        scripts = list(scripts)
        self.client = scripted_endpoints.ScriptedEndpointClient({})

        async def send(outgoing):
            self.client.sent.append(outgoing)
            script = scripts.pop(0)
            if isinstance(script, Exception):
                raise script
            return script

        self.client.send = send
        self.components = forwarding_parts.create_components(
            self.client,
            [forwarding_parts.create_endpoint(name) for name in _NAMES],
        )
        budget = self.components.retry_budgets.of_service(
            ids.ServiceName("pool")
        )
        while not has_retry_budget and budget.take():
            pass
        route_changes = {"max_attempts": 2, "is_resumable": True, **changes}
        request = forwarding_parts.admit(
            forwarding_parts.create_request(
                shape=prompt.PromptShape("m", 2000, max_output_tokens, 10)
            ),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
            **route_changes,
        )
        self.reply = scripted_endpoints.RecordedReply()
        await stream_run.StreamRun(self.components, request, self.reply).serve()

    @property
    def _sent_to(self):
        return [sent.endpoint.endpoint_id for sent in self.client.sent]

    async def test_stream_goes_on_after_the_last_event(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(
                200, [_FIRST + b"id: 2\nda", _RESPONSE_LOST]
            ),
            scripted_endpoints.ScriptedResponse(200, [_SECOND]),
        )
        self.assertEqual(self.reply.body, _FIRST + _SECOND)
        self.assertTrue(self.reply.is_finished)
        self.assertEqual(len(set(self._sent_to)), 2)
        self.assertEqual(self.client.sent[1].after_event_id, "1")
        self.assertIsNone(self.client.sent[1].source)

    async def test_head_of_the_first_engine_is_kept(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(
                200, [_FIRST, _RESPONSE_LOST], headers=[(b"stamp", b"first")]
            ),
            scripted_endpoints.ScriptedResponse(
                200, [_SECOND], headers=[(b"stamp", b"second")]
            ),
        )
        self.assertEqual(self.reply.head.headers[0].value, b"first")

    async def test_lost_response_before_the_head_is_retried(self):
        await self._serve(
            _RESPONSE_LOST, scripted_endpoints.ScriptedResponse(200, [_FIRST])
        )
        self.assertEqual(self.reply.body, _FIRST)
        self.assertIsNone(self.client.sent[1].after_event_id)

    async def test_error_response_is_retried(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(500, [b"no"]),
            scripted_endpoints.ScriptedResponse(200, [_FIRST]),
        )
        self.assertEqual(self.reply.body, _FIRST)

    async def test_last_error_response_is_forwarded(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(500, [b"no"]),
            scripted_endpoints.ScriptedResponse(500, [b"nor here"]),
        )
        self.assertEqual(self.reply.head.status, 500)
        self.assertEqual(self.reply.body, b"nor here")

    async def test_failed_resumption_does_not_look_complete(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(
                scripted_endpoints.ScriptedResponse(
                    200, [_FIRST, _RESPONSE_LOST]
                ),
                scripted_endpoints.ScriptedResponse(404, [b"no"]),
            )
        self.assertEqual(self.reply.body, _FIRST)
        self.assertFalse(self.reply.is_finished)

    async def test_runs_are_limited_by_max_attempts(self):
        broken = [
            scripted_endpoints.ScriptedResponse(200, [_FIRST, _RESPONSE_LOST])
            for _ in _NAMES
        ]
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(*broken)
        self.assertEqual(len(self._sent_to), 2)

    async def test_refusals_are_not_counted_as_runs(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(200, [_FIRST, _RESPONSE_LOST]),
            scripted_endpoints.create_not_run_response(),
            scripted_endpoints.ScriptedResponse(200, [_SECOND]),
        )
        self.assertEqual(self.reply.body, _FIRST + _SECOND)

    async def test_resumption_uses_the_retry_budget(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(
                scripted_endpoints.ScriptedResponse(
                    200, [_FIRST, _RESPONSE_LOST]
                ),
                has_retry_budget=False,
            )
        self.assertEqual(len(self._sent_to), 1)

    async def test_stream_that_may_run_once_is_not_sent_again(self):
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(
                scripted_endpoints.ScriptedResponse(
                    200, [_FIRST, _RESPONSE_LOST]
                ),
                is_resumable=False,
            )
        self.assertEqual(len(self._sent_to), 1)

    async def test_event_without_end_fails_the_run(self):
        chunk = b"x" * 300_000
        await self._serve(
            scripted_endpoints.ScriptedResponse(200, [_FIRST, *[chunk] * 100]),
            scripted_endpoints.ScriptedResponse(200, [_SECOND]),
        )
        self.assertEqual(self.reply.body, _FIRST + _SECOND)

    async def test_more_events_than_tokens_fail_the_run(self):
        events = [b"id: %d\ndata: a\n\n" % number for number in range(1, 100)]
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(
                scripted_endpoints.ScriptedResponse(200, events),
                is_resumable=False,
                max_output_tokens=4,
            )
        self.assertLess(len(self.reply.body), sum(map(len, events)))

    # Guards against ending a stream as complete, or going on with other bytes,
    # by a response that is no stream of events.
    async def test_response_of_another_status_or_type_does_not_go_on(self):
        events, page = b"text/event-stream", b"text/html"
        for status, media_type, body in (
            (204, events, b""),
            (202, events, _SECOND),
            (200, page, b"<p>\n\n"),
        ):
            with (
                self.subTest(status=status, media_type=media_type),
                self.assertRaises(errors.ResponseInterruptedError),
            ):
                await self._serve(
                    scripted_endpoints.ScriptedResponse(
                        200,
                        [_FIRST, _RESPONSE_LOST],
                        headers=[(b"content-type", events)],
                    ),
                    scripted_endpoints.ScriptedResponse(
                        status, [body], headers=[(b"content-type", media_type)]
                    ),
                )
            self.assertEqual(self.reply.body, _FIRST)
            self.assertFalse(self.reply.is_finished)

    async def test_parameters_of_the_media_type_may_differ(self):
        await self._serve(
            scripted_endpoints.ScriptedResponse(
                200,
                [_FIRST, _RESPONSE_LOST],
                headers=[(b"content-type", b"text/event-stream")],
            ),
            scripted_endpoints.ScriptedResponse(
                200,
                [_SECOND],
                headers=[(b"Content-Type", b"Text/Event-Stream;charset=utf-8")],
            ),
        )
        self.assertEqual(self.reply.body, _FIRST + _SECOND)

    # Guards against events that the caller gets twice, from an engine that
    # begins anew.
    async def test_events_that_do_not_follow_are_not_passed_on(self):
        for first, repeated in (
            (_FIRST + _SECOND, _FIRST + _SECOND),
            (_FIRST + _SECOND, _SECOND),
            (b"id: 10\ndata: a\n\n", _SECOND),
            (b"id: x\ndata: a\n\n", b"id: x\ndata: a\n\n"),
        ):
            with (
                self.subTest(first=first, repeated=repeated),
                self.assertRaises(errors.ResponseInterruptedError),
            ):
                await self._serve(
                    scripted_endpoints.ScriptedResponse(
                        200, [first, _RESPONSE_LOST]
                    ),
                    scripted_endpoints.ScriptedResponse(200, [repeated]),
                )
            self.assertEqual(self.reply.body, first)

    # Guards against the same where events have no ids.
    async def test_stream_without_ids_is_not_begun_anew(self):
        event = b"data: a\n\n"
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(
                scripted_endpoints.ScriptedResponse(
                    200, [event, _RESPONSE_LOST]
                ),
                scripted_endpoints.ScriptedResponse(200, [event, event]),
            )
        self.assertEqual(self.reply.body, event)
        self.assertEqual(len(self._sent_to), 1)

    async def test_ids_are_compared_as_numbers(self):
        ninth, tenth = (b"id: %d\ndata: a\n\n" % number for number in (9, 10))
        await self._serve(
            scripted_endpoints.ScriptedResponse(200, [ninth, _RESPONSE_LOST]),
            scripted_endpoints.ScriptedResponse(200, [tenth]),
        )
        self.assertEqual(self.reply.body, ninth + tenth)


if __name__ == "__main__":
    unittest.main()
