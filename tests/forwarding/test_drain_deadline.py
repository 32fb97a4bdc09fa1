"""Tests of bronzeslip.forwarding.drain_deadline in a forwarding gateway.

In a planned stop, a process is killed at the end of its grace. A request that
is running then ends without a response.
"""

import asyncio
import unittest

from bronzeslip.entry import vm_config
from bronzeslip.routes import kind
from bronzeslip.routes import route
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_GRACE_S = 0.6
_GENERATION = (
    (b"bronzeslip-model", b"m"),
    (b"bronzeslip-token-usage", b"3000,2000"),
    (b"bronzeslip-prompt-prefix", b"aa:3000"),
)


class DrainDeadlineTest(unittest.IsolatedAsyncioTestCase):
    def _create(self, *chunks, service_name="desk"):
        """Creates a gateway whose only endpoint sends these chunks."""
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {"one": [scripted_endpoints.ScriptedResponse(200, chunks)]}
        )
        self.gateway = forwarding_gateway.ForwardingGateway(
            self.client,
            [
                forwarding_parts.create_endpoint(
                    "one", service_name=service_name
                )
            ],
        )
        self.gateway.drain.set_bounds(
            vm_config.PlaceBounds(_GRACE_S, 0.2, 50.0, 10.0, 2.5)
        )

    def _adopt(self, request_kind, timeout_s, **changes):
        self.gateway.adopt(
            forwarding_parts.create_route(
                request_kind, timeout_s=timeout_s, **changes
            )
        )

    def _adopt_generations(self, **changes):
        self._adopt(
            kind.RequestKind.STREAM,
            30.0,
            services=(
                route.WeightedService(forwarding_parts.ENGINE_SERVICE.name),
            ),
            **changes,
        )

    # Guards against passing on a request late in the grace that is cut at its
    # end and may not be repeated.
    async def test_request_that_may_be_cut_is_rejected_at_once(self):
        self._create(b"ok")
        self._adopt(kind.RequestKind.AT_MOST_ONCE, 30.0)
        self.gateway.drain.begin()
        caller = await self.gateway.serve("q1")
        self.assertEqual(caller.status, 503)
        self.assertIn(b"retry-after", caller.headers)
        self.assertEqual(self.client.sent, [])

    # Guards against the same for generations, most of which outlast a grace.
    async def test_generation_that_may_be_cut_is_rejected_at_once(self):
        self._create(b"id: 1\n\n", service_name="pool")
        self._adopt_generations()
        self.gateway.drain.begin()
        caller = await self.gateway.serve("q1", _GENERATION)
        self.assertEqual(caller.status, 503)
        self.assertEqual(self.client.sent, [])

    async def test_request_that_ends_within_the_grace_is_served(self):
        self._create(b"ok")
        self._adopt(kind.RequestKind.AT_MOST_ONCE, _GRACE_S / 2)
        self.gateway.drain.begin()
        caller = await self.gateway.serve("q1")
        self.assertEqual(caller.status, 200)

    async def test_idempotent_request_is_served_until_the_end(self):
        self._create(b"ok")
        self._adopt(kind.RequestKind.IDEMPOTENT, 30.0)
        self.gateway.drain.begin()
        caller = await self.gateway.serve("q1")
        self.assertEqual(caller.status, 200)
        self.assertLess(self.client.sent[0].remaining_s, _GRACE_S)

    # Guards against killing the process while a caller still waits for any
    # response.
    async def test_running_request_is_answered_before_the_end(self):
        for request_kind in (
            kind.RequestKind.AT_MOST_ONCE,
            kind.RequestKind.IDEMPOTENT,
        ):
            with self.subTest(request_kind):
                self._create(asyncio.Event())
                self._adopt(request_kind, 30.0, max_attempts=1)
                serving = asyncio.create_task(self.gateway.serve("q1"))
                await asyncio.sleep(0.05)
                self.gateway.drain.begin()
                caller = await asyncio.wait_for(serving, _GRACE_S)
                self.assertEqual(caller.status, 504)

    async def test_running_stream_ends_unfinished_before_the_end(self):
        self._create(
            b"id: 1\ndata: a\n\n", asyncio.Event(), service_name="pool"
        )
        self._adopt_generations()
        serving = asyncio.create_task(self.gateway.serve("q1", _GENERATION))
        await asyncio.sleep(0.05)
        self.gateway.drain.begin()
        caller = await asyncio.wait_for(serving, _GRACE_S)
        self.assertEqual(caller.status, 200)
        self.assertTrue(caller.sent[-1]["more_body"])

    async def test_shorter_deadline_stays(self):
        self._create(asyncio.Event())
        self._adopt(kind.RequestKind.AT_MOST_ONCE, 0.2)
        serving = asyncio.create_task(self.gateway.serve("q1"))
        await asyncio.sleep(0.05)
        self.gateway.drain.begin()
        caller = await asyncio.wait_for(serving, 0.3)
        self.assertEqual(caller.status, 504)


if __name__ == "__main__":
    unittest.main()
