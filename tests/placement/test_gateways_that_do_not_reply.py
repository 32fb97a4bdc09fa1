"""Tests of bronzeslip.placement.placement_caller.

Gateways that do not reply cost a request the timeout of a call each time.
"""

import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.placement import ended_requests
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_caller
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_verdict
from bronzeslip.quota import errors
from tests.support import clock
from tests.support import forwarding_parts

_NAMES = ("one", "two", "three", "four")
_ASK = placement_ask.PlacementAsk(
    service=ids.ServiceName("pool"),
    shard_index=0,
    shard_count=1,
    request_id=ids.RequestId("q1"),
    prompt_tokens=10,
    expected_tokens=20,
    output_tokens=10,
    is_long=False,
    priority=0,
    workspace=None,
    remaining_s=5.0,
    objective_left_s=1.0,
)


class _Network:
    """Ranks the gateways by name and replies for those that run."""

    def __init__(self):
        self.asked = []
        self.silent = set()
        self.error = errors.PeerUnavailableError("no reply")
        self.verdict = placement_verdict.PlacementVerdict.DEFERRED

    def ranked(self, key, count=2):
        return tuple(map(forwarding_parts.create_peer, _NAMES[:count]))

    async def place(self, target, request):
        self.asked.append(target.vm_id)
        if target.vm_id in self.silent:
            raise self.error
        return placement_reply.PlacementReply(self.verdict)


class PlacementCallerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.network = _Network()
        self.caller = placement_caller.PlacementCaller(
            forwarding_parts.create_peer("own"),
            self.network,
            None,
            self.network,
            self.clock,
        )

    async def _asked(self, after_s=0.0):
        """Returns which gateways one request asks, some time later."""
        self.clock.advance(after_s)
        self.network.asked.clear()
        await self.caller.ask(_ASK)
        return list(self.network.asked)

    async def test_coordinator_that_replies_is_the_only_one_asked(self):
        self.assertEqual(await self._asked(), ["one"])

    async def test_silent_coordinator_is_tried_again_less_and_less(self):
        self.network.silent = {"one"}
        self.assertEqual(await self._asked(), ["one", "two"])
        self.assertEqual(await self._asked(1.9), ["two"])
        self.assertEqual(await self._asked(0.2), ["one", "two"])
        self.assertEqual(await self._asked(2.1), ["two"])
        self.assertEqual(await self._asked(2.0), ["one", "two"])
        # The pause is bounded, and a reply ends it.
        for _ in range(3):
            self.assertEqual(await self._asked(8.1), ["one", "two"])
        self.network.silent.clear()
        self.assertEqual(await self._asked(8.1), ["one"])
        self.network.silent = {"one"}
        self.assertEqual(await self._asked(), ["one", "two"])
        self.assertEqual(await self._asked(2.1), ["one", "two"])

    # Guards against a request that waits for one silent gateway after another.
    async def test_request_asks_few_silent_gateways(self):
        self.network.silent = set(_NAMES)
        self.assertEqual(await self._asked(), ["one", "two"])
        self.assertEqual(await self._asked(), ["three", "four"])
        self.assertEqual(await self._asked(), [])
        self.assertEqual(await self._asked(2.1), ["one"])

    async def test_gateways_that_are_not_responsible_are_not_paused(self):
        self.network.verdict = (
            placement_verdict.PlacementVerdict.NOT_RESPONSIBLE
        )
        for _ in range(2):
            self.assertEqual(await self._asked(), ["one", "two"])
        self.assertIsNone(await self.caller.ask(_ASK))

    # A gateway that published an unusable address failed requests.
    async def test_unforeseen_error_is_no_reply(self):
        self.network.silent = {"one"}
        self.network.error = OverflowError("port")
        self.assertEqual(await self._asked(), ["one", "two"])
        self.assertEqual(await self._asked(), ["two"])

    # An unforeseen error of a gateway's own coordinator failed its requests,
    # and those of other gateways did not.
    async def test_unforeseen_error_of_the_own_coordinator_is_no_reply(self):
        class Failing:
            def decide(self, request):
                raise RecursionError

        caller = placement_caller.PlacementCaller(
            forwarding_parts.create_peer("one"),
            self.network,
            Failing(),
            self.network,
            self.clock,
        )
        reply = await caller.ask(_ASK)
        self.assertIs(reply.verdict, self.network.verdict)
        self.assertEqual(self.network.asked, ["two"])

    # Gateways are replaced all the time, each with a new id.
    async def test_ends_for_gateways_that_are_gone_are_dropped(self):
        ended = ended_requests.EndedRequests()
        for number in range(1000):
            ended.record_asked(f"q{number}", f"front-{number}")
            ended.end(f"q{number}")
        self.assertEqual(ended.take("front-0"), ())
        self.assertEqual(ended.take("front-999"), ("q999",))
        self.assertLess(len(ended), 100)

    async def test_ended_requests_are_stated_once(self):
        requests = []

        async def place(target, request):
            requests.append(request)
            return placement_reply.PlacementReply(self.network.verdict)

        self.network.place = place
        await self.caller.ask(_ASK)
        self.caller.ended.end(_ASK.request_id)
        for number in (2, 3):
            request_id = ids.RequestId(f"q{number}")
            await self.caller.ask(
                msgspec.structs.replace(_ASK, request_id=request_id)
            )
        self.assertEqual(
            [request.ended for request in requests], [(), ("q1",), ()]
        )


if __name__ == "__main__":
    unittest.main()
