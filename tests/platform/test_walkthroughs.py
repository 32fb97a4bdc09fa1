"""Tests of the walkthroughs in docs/OPERATIONS.md.

Each walkthrough finds the cause of a failed request by its id in the log.
"""

import asyncio
import unittest

from bronzeslip.forwarding import endpoint_errors
from bronzeslip.routes import kind
from bronzeslip.routes import route
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import log_capture
from tests.support import polling
from tests.support import scripted_endpoints

_GENERATION_HEADERS = (
    (b"bronzeslip-model", b"m"),
    (b"bronzeslip-token-usage", b"3000,2000"),
    (b"bronzeslip-prompt-prefix", b"aa:79,bb:2921"),
)
_INCOMPLETE_RESPONSE = endpoint_errors.EndpointResponseLostError(
    "incomplete response"
)


class WalkthroughsTest(unittest.IsolatedAsyncioTestCase):
    def _create_gateway(self, answers, service_name="pool"):
        client = scripted_endpoints.ScriptedEndpointClient(answers)
        client.refuses_copies = True
        return forwarding_gateway.ForwardingGateway(
            client,
            tuple(
                forwarding_parts.create_endpoint(
                    name, service_name=service_name
                )
                for name in answers
            ),
        )

    def _create_stream_route(self):
        return forwarding_parts.create_route(
            kind.RequestKind.STREAM,
            services=(
                route.WeightedService(forwarding_parts.ENGINE_SERVICE.name),
            ),
        )

    async def test_interrupted_stream(self):
        events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        reclaimed = asyncio.Event()
        answer = scripted_endpoints.ScriptedResponse(
            200, [events, reclaimed, _INCOMPLETE_RESPONSE]
        )
        gateway = self._create_gateway({"one": [answer], "two": []})
        gateway.adopt(self._create_stream_route())
        leaving, other = gateway.components.endpoints.endpoints
        gateway.components.endpoints.mark_leaving(other)
        with log_capture.capture() as log:
            serving_task = asyncio.create_task(
                gateway.serve("q7", _GENERATION_HEADERS)
            )
            await polling.wait_until(lambda: log.matching("stream.sent"))
            gateway.components.endpoints.put(
                forwarding_parts.create_endpoint("three", "b-1")
            )
            gateway.components.endpoints.mark_leaving(leaving)
            await polling.wait_until(lambda: log.matching("standby.failed"))
            reclaimed.set()
            caller = await serving_task
        self.assertEqual(caller.status, 200)
        self.assert_settled(log, "q7", "incomplete")
        ended = log.single("request.ended", request="q7")
        self.assertEqual(ended["code"], "answer-broken-off")
        self.assertEqual(ended["reason"], "no copy of the run")
        cut = log.single("stream.cut", request="q7")
        self.assertEqual(cut["events"], 2)
        chosen = log.single("request.chosen", request="q7")
        self.assertEqual(chosen["endpoint"], cut["endpoint"])
        self.assertIsNone(chosen["report_age_s"])
        leaving = log.single("endpoints.leaving", endpoint=cut["endpoint"])
        failed = log.matching("standby.failed", request="q7")[0]
        self.assertEqual(failed["target"], "three")
        self.assertLess(log.lines.index(leaving), log.lines.index(failed))
        self.assertLess(log.lines.index(failed), log.lines.index(cut))

    def assert_settled(self, log, request_id, outcome):
        """Checks the outcome in the last log line of a request."""
        settled = log.single("request.settled", request=request_id)
        self.assertEqual(settled["outcome"], outcome)

    async def test_call_with_unknown_outcome(self):
        gateway = self._create_gateway({"one": [_INCOMPLETE_RESPONSE]}, "desk")
        gateway.adopt(
            forwarding_parts.create_route(kind.RequestKind.AT_MOST_ONCE)
        )
        with log_capture.capture() as log:
            caller = await gateway.serve("q8")
        self.assertEqual(caller.status, 502)
        self.assert_settled(log, "q8", "unknown")
        ended = log.single("request.ended", request="q8")
        self.assertEqual(ended["code"], "outcome-unknown")
        failed = log.single("attempt.failed", request="q8")
        self.assertEqual(failed["code"], "endpoint-broken")
        self.assertEqual(failed["endpoint"], "one")

    async def test_request_refused_before_the_first_configuration(self):
        gateway = self._create_gateway({"one": []}, "desk")
        with log_capture.capture() as log:
            caller = await gateway.serve("q9")
            gateway.adopt(
                forwarding_parts.create_route(kind.RequestKind.IDEMPOTENT),
                version=3,
            )
        self.assertEqual(caller.status, 503)
        ended = log.single("request.ended", request="q9")
        self.assertEqual(ended["code"], "not-run")
        self.assertEqual(ended["retry_after_s"], 0.5)
        self.assertEqual(log.matching("request.accepted", request="q9"), [])
        adopted = log.single("configuration.adopted")
        self.assertEqual(adopted["version"], 3)
        self.assertLess(log.lines.index(ended), log.lines.index(adopted))

    async def test_logs_contain_no_keys_or_bodies(self):
        answer = scripted_endpoints.ScriptedResponse(200, [b"secret-answer"])
        gateway = self._create_gateway({"one": [answer]}, "desk")
        gateway.adopt(
            forwarding_parts.create_route(kind.RequestKind.IDEMPOTENT)
        )
        with log_capture.capture() as log:
            caller = await gateway.serve("q10")
        self.assertEqual(caller.status, 200)
        self.assert_settled(log, "q10", "completed")
        text = str(log.lines)
        self.assertNotIn("secret", text)
        self.assertNotIn(forwarding_parts.API_KEY, text)
