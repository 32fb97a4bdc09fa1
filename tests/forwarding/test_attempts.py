"""Tests of bronzeslip.forwarding.attempts with forwarded calls."""

import unittest

from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_UNREACHABLE = endpoint_errors.EndpointUnreachableError("refused")
_RESPONSE_LOST = endpoint_errors.EndpointResponseLostError("reset")


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def _call(
        self,
        request_kind,
        first,
        second=None,
        has_retry_budget=True,
        **route_changes,
    ):
        """Forwards a call to 'one', and to 'two' if it is retried."""
        second = second or scripted_endpoints.ScriptedResponse(200, [b"two"])
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {"one": [first], "two": [second]}
        )
        shared = forwarding_parts.create_components(
            self.client,
            (
                forwarding_parts.create_endpoint("one", service_name="desk"),
                forwarding_parts.create_endpoint(
                    "two", "b-1", service_name="desk", warmup_remaining_s=9.0
                ),
            ),
        )
        if not has_retry_budget:
            budget = shared.retry_budgets.count_request(
                forwarding_parts.CALL_SERVICE.name
            )
            while budget.take():
                pass
        self.reply = scripted_endpoints.RecordedReply()
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), request_kind, **route_changes
        )
        await call_forwarder.CallForwarder(shared).forward(request, self.reply)

    @property
    def _sent_to(self):
        return [sent.endpoint.endpoint_id for sent in self.client.sent]

    async def test_complete_response_is_forwarded(self):
        response = scripted_endpoints.ScriptedResponse(
            201, [b"a", b"b"], headers=[(b"x-y", b"z")]
        )
        await self._call(kind.RequestKind.AT_MOST_ONCE, response)
        self.assertEqual(self.reply.head.status, 201)
        self.assertEqual(self.reply.head.content_length, 2)
        self.assertEqual(self.reply.head.headers[0].value, b"z")
        self.assertEqual(self.reply.body, b"ab")
        self.assertTrue(self.reply.is_finished)

    async def test_refused_request_is_retried_at_another_endpoint(self):
        await self._call(
            kind.RequestKind.AT_MOST_ONCE,
            scripted_endpoints.create_not_run_response(),
        )
        self.assertEqual(self._sent_to, ["one", "two"])
        self.assertEqual(self.reply.body, b"two")

    async def test_unreachable_endpoint_is_skipped(self):
        await self._call(kind.RequestKind.AT_MOST_ONCE, _UNREACHABLE)
        self.assertEqual(self._sent_to, ["one", "two"])

    async def test_unreachable_endpoint_uses_no_retry_budget(self):
        await self._call(
            kind.RequestKind.AT_MOST_ONCE, _UNREACHABLE, has_retry_budget=False
        )
        self.assertEqual(self._sent_to, ["one", "two"])

    async def test_refusal_uses_the_retry_budget(self):
        with self.assertRaises(errors.NotRunError):
            await self._call(
                kind.RequestKind.AT_MOST_ONCE,
                scripted_endpoints.create_not_run_response(),
                has_retry_budget=False,
            )
        self.assertEqual(self._sent_to, ["one"])

    async def test_at_most_once_request_with_lost_response_is_unknown(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(kind.RequestKind.AT_MOST_ONCE, _RESPONSE_LOST)
        self.assertEqual(self._sent_to, ["one"])

    async def test_at_most_once_request_with_truncated_body_is_unknown(self):
        response = scripted_endpoints.ScriptedResponse(
            200, [b"a", _RESPONSE_LOST]
        )
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(kind.RequestKind.AT_MOST_ONCE, response)
        self.assertFalse(self.reply.is_started)

    async def test_error_response_to_an_at_most_once_request_is_forwarded(self):
        response = scripted_endpoints.ScriptedResponse(500, [b"no"])
        await self._call(kind.RequestKind.AT_MOST_ONCE, response)
        self.assertEqual(self._sent_to, ["one"])
        self.assertEqual(self.reply.head.status, 500)

    async def test_idempotent_request_is_retried_after_an_error_response(self):
        response = scripted_endpoints.ScriptedResponse(500, [b"no"])
        await self._call(kind.RequestKind.IDEMPOTENT, response)
        self.assertEqual(self.reply.body, b"two")

    async def test_idempotent_request_runs_at_most_max_attempts_times(self):
        response = scripted_endpoints.ScriptedResponse(500, [b"no"])
        await self._call(kind.RequestKind.IDEMPOTENT, response, max_attempts=1)
        self.assertEqual(self._sent_to, ["one"])
        self.assertEqual(self.reply.head.status, 500)

    async def test_request_that_no_endpoint_runs_raises_not_run_error(self):
        with self.assertRaises(errors.NotRunError) as caught:
            await self._call(
                kind.RequestKind.AT_MOST_ONCE,
                _UNREACHABLE,
                scripted_endpoints.create_not_run_response(),
            )
        self.assertGreater(caught.exception.retry_after_s, 0)

    async def test_refusal_after_a_lost_response_is_unknown(self):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(
                kind.RequestKind.IDEMPOTENT,
                _RESPONSE_LOST,
                scripted_endpoints.create_not_run_response(),
            )
