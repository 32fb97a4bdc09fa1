"""Tests of bronzeslip.forwarding.crash_watch on parts of prompts.

One part of a prompt crashes each engine that begins to answer it. The requests
that hold it come at any gateway, no two alike; safe requests share their
workspace and their other parts.
"""

import asyncio
import contextlib
import itertools
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.entry import suspect_list_settings
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from bronzeslip.routing import suspect_list
from bronzeslip.store import objects
from tests.support import crashing_engines
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_ENGINES = ("one", "two", "three", "four")
_GATEWAYS = ("front-1", "front-2", "front-3")
_TTL_S = 300.0
_PREAMBLE = "preamble"
_POISON = "poison"
# Crashes after which no more than three further requests may reach an engine.
_CRASHES = 5
_MAX_LATER_ARRIVALS = 3


class _Clock:
    def __init__(self):
        self.now_s = 1_000_000.0

    def __call__(self):
        return self.now_s


class _Gateway:
    """A gateway that learns of the others' suspects when told to."""

    def __init__(self, name, engines, clock):
        self.name = name
        self.engines = engines
        settings = suspect_list_settings.SuspectListSettings(
            ids.VmId(name), _TTL_S
        )
        self.suspects = suspect_list.SuspectList(settings, clock)
        self.components = forwarding_parts.create_components(
            engines, engines.endpoints(), suspects=self.suspects
        )

    async def serve(self, request_id, *part_ids, **route_changes):
        """Serves a request; its last part is its own."""
        parts = [
            prompt.PromptPart(part_id, 100)
            for part_id in (*part_ids, f"own-{request_id}")
        ]
        request = forwarding_parts.admit(
            forwarding_parts.create_request(
                request_id=ids.RequestId(request_id),
                body=request_id.encode(),
                shape=prompt.PromptShape("m", 2000, 40, 10, tuple(parts)),
            ),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
            **route_changes,
        )
        reply = scripted_endpoints.RecordedReply()
        try:
            await stream_run.StreamRun(self.components, request, reply).serve()
            self.components.crash_detector.record_completion(request)
        finally:
            for _ in range(20):
                await asyncio.sleep(0)
        return reply

    async def is_served(self, request_id, *part_ids):
        try:
            reply = await self.serve(request_id, *part_ids)
        except errors.ForwardingError:
            return False
        return reply.is_finished

    async def learn_from(self, other):
        event = objects.ObjectEvent(
            objects.EventKind.PUT,
            suspect_list.record_key(ids.VmId(other.name)),
            ids.ObjectVersion(1),
            msgspec.Raw(msgspec.json.encode(other.suspects.own_record())),
        )
        await self.suspects.on_event(event)


class PoisonPromptPartTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.numbers = itertools.count()
        self.clock = _Clock()

    async def asyncSetUp(self):
        self.engines = crashing_engines.CrashingEngines(_ENGINES)
        self.engines.poison_parts.add(_POISON)
        self.gateways = [
            _Gateway(name, self.engines, self.clock) for name in _GATEWAYS
        ]

    async def _exchange(self):
        """Passes on what the gateways know and starts crashed engines."""
        for gateway, other in itertools.permutations(self.gateways, 2):
            await gateway.learn_from(other)
        self.engines.start_again()
        for gateway in self.gateways:
            for endpoint in self.engines.endpoints():
                gateway.components.endpoints.put(endpoint)

    async def _serve_in_turn(self, count, *part_ids, **route_changes):
        """Sends requests to the gateways in turn, a second apart."""
        for number in itertools.islice(self.numbers, count):
            gateway = self.gateways[number % len(self.gateways)]
            with contextlib.suppress(errors.ForwardingError):
                await gateway.serve(f"q{number}", *part_ids, **route_changes)
            await self._exchange()
            self.clock.now_s += 1.0

    def _assert_few_arrivals(self):
        later = len(self.engines.arrivals) - _CRASHES
        self.assertLessEqual(later, _MAX_LATER_ARRIVALS)

    async def _assert_sound_requests_are_served(self, *part_ids):
        for gateway in self.gateways:
            number = next(self.numbers)
            self.assertTrue(
                await gateway.is_served(f"safe-{number}", *part_ids),
                (gateway.name, part_ids),
            )

    # Guards against requests that crash engine after engine because no two of
    # them are alike (BUDGET).
    async def test_requests_with_a_poison_part_reach_few_engines(self):
        await self._serve_in_turn(3, _PREAMBLE, "session")
        await self._serve_in_turn(40, _PREAMBLE, _POISON)
        self._assert_few_arrivals()
        await self._assert_sound_requests_are_served(_PREAMBLE, "session")

    async def test_sound_requests_share_all_other_parts(self):
        await self._serve_in_turn(3, _PREAMBLE, "session")
        await self._serve_in_turn(40, _PREAMBLE, "shared", _POISON)
        self._assert_few_arrivals()
        await self._assert_sound_requests_are_served(_PREAMBLE, "shared")
        await self._serve_in_turn(40, _PREAMBLE, "shared", _POISON)
        self._assert_few_arrivals()

    async def test_other_parts_of_poison_requests_differ(self):
        for number in range(40):
            await self._serve_in_turn(1, _PREAMBLE, f"session-{number}")
            await self._serve_in_turn(
                1, _PREAMBLE, f"session-{number}", _POISON
            )
        self._assert_few_arrivals()
        await self._assert_sound_requests_are_served(_PREAMBLE, "session-1")

    async def test_poison_part_may_come_first(self):
        await self._serve_in_turn(3, "session")
        await self._serve_in_turn(40, _POISON, "session")
        self._assert_few_arrivals()
        await self._assert_sound_requests_are_served("session")

    async def test_gateways_that_know_no_sound_part_find_it(self):
        await self._serve_in_turn(40, _PREAMBLE, "session", _POISON)
        self._assert_few_arrivals()
        await self._assert_sound_requests_are_served(_PREAMBLE, "other")

    async def test_resumable_streams_with_a_poison_part_reach_few_engines(self):
        await self._serve_in_turn(
            40, _PREAMBLE, _POISON, is_resumable=True, max_attempts=3
        )
        self._assert_few_arrivals()

    async def test_restarted_gateways_learn_what_is_poison(self):
        await self._serve_in_turn(20, _PREAMBLE, _POISON)
        restarted = _Gateway("front-4", self.engines, self.clock)
        for other in self.gateways:
            await restarted.learn_from(other)
        self.gateways[0] = restarted
        await self._serve_in_turn(40, _PREAMBLE, _POISON)
        self._assert_few_arrivals()

    async def test_poison_part_stays_known_while_requests_with_it_come(self):
        await self._serve_in_turn(2 * int(_TTL_S), _PREAMBLE, _POISON)
        self._assert_few_arrivals()

    async def _lose_bystanders(self):
        """Crashes all engines while each gateway runs a safe request."""
        self.engines.holds_answers = True
        bystanders = [
            asyncio.create_task(
                gateway.is_served(f"by-{next(self.numbers)}", _PREAMBLE, "new")
            )
            for gateway in self.gateways
        ]
        await asyncio.sleep(0.01)
        for name in _ENGINES:
            self.engines.crash(name)
        await asyncio.gather(*bystanders)
        self.engines.holds_answers = False
        await self._exchange()

    # Guards against a part that is shared by many requests being refused for
    # good because engines crashed for another reason (LOST).
    async def test_parts_of_bystanders_are_served_soon_again(self):
        for _ in range(2):
            await self._lose_bystanders()
        for _ in range(30):
            self.clock.now_s += 1.0
            served = [
                await gateway.is_served(
                    f"b-{next(self.numbers)}", _PREAMBLE, "new"
                )
                for gateway in self.gateways
            ]
            await self._exchange()
            if all(served):
                return
        self.fail("safe requests are still refused after 30 s")

    # Guards against a trial of an innocent part that lets a poison one through.
    async def test_trial_of_other_parts_does_not_let_a_poison_part_through(
        self,
    ):
        await self._serve_in_turn(40, _PREAMBLE, _POISON)
        self._assert_few_arrivals()
        for _ in range(2):
            await self._lose_bystanders()
        before = len(self.engines.arrivals)
        await self._serve_in_turn(20, _POISON, _PREAMBLE, "new")
        self.assertEqual(len(self.engines.arrivals), before)


if __name__ == "__main__":
    unittest.main()
