"""Tests of coordinated placement with many gateways, without a network.

Gateways that choose by old reports all send to the same engines. Here one
coordinator places for all, and is killed, frozen, restarted or cut off.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzeslip.placement import local_reason
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_request
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import shard
from tests.support import forwarding_parts
from tests.support import placement_fleet
from tests.support import virtual_loop

_GATEWAYS = 46
_ENGINES = 21
_REQUESTS_PER_S = 35.0
_PLAY_S = 12.0
_LONG_ASK = placement_ask.PlacementAsk(
    service=forwarding_parts.ENGINE_SERVICE.name,
    shard_index=0,
    shard_count=1,
    request_id="long",
    prompt_tokens=1_000,
    expected_tokens=1_500,
    output_tokens=500,
    is_long=True,
    priority=0,
    workspace=None,
    remaining_s=30.0,
    objective_left_s=1.5,
)


async def _start(is_coordinated=True):
    """Starts a fleet whose gateways have asked for the first time."""
    fleet = placement_fleet.Fleet(_GATEWAYS, _ENGINES, is_coordinated)
    await fleet.play(3.0, _REQUESTS_PER_S)
    return fleet


async def _measure(fleet):
    """Returns the 99th percentile of the times to a first token."""
    times_s = await fleet.play(_PLAY_S, _REQUESTS_PER_S)
    return placement_fleet.quantile(times_s, 0.99)


def _local_choices(fleet):
    return [
        reason
        for gateway in fleet.gateways.values()
        for reason in gateway.local_choices
    ]


class OneCoordinatorTest(unittest.TestCase):
    # Without a coordinator, this load makes first tokens late.
    def test_load_is_even_with_fewer_polls(self):
        async def play(is_coordinated):
            fleet = await _start(is_coordinated)
            before = fleet.poll_count
            return await _measure(fleet), fleet.poll_count - before

        alone_s, polls_alone = virtual_loop.run(play(False))
        together_s, polls = virtual_loop.run(play(True))
        self.assertLess(together_s, alone_s / 2)
        self.assertLess(polls, polls_alone)

    # Guards against a coordinator that is busy with the asks of 400 gateways:
    # with three backlogs per engine, an ask took 4 ms at 64 engines.
    def test_ask_computes_the_backlog_of_each_engine_once(self):
        async def play():
            fleet = await _start()
            first, _ = fleet.coordinators
            ledger = fleet.gateways[first].ledger
            with mock.patch.object(
                ledger, "sent_since", wraps=ledger.sent_since
            ) as sent_since:
                reply = fleet.gateways[first].parts.coordinator.decide(
                    placement_request.PlacementRequest(
                        _LONG_ASK, (), forwarding_parts.create_peer("front-1")
                    )
                )
            self.assertIs(
                reply.verdict, placement_verdict.PlacementVerdict.PLACED
            )
            self.assertEqual(sent_since.call_count, _ENGINES)

        virtual_loop.run(play())

    # Engines without a report seemed idle, so that a new coordinator filled
    # those that had not reported yet although they were busy.
    def test_engines_without_a_recent_report_are_not_named(self):
        async def play():
            fleet = await _start()
            first, _ = fleet.coordinators
            gateway = fleet.gateways[first]
            gateway.reports.remove("engine-0")
            self.assertTrue(
                gateway.directory.is_usable(fleet.engines["engine-0"].endpoint)
            )
            named = set()
            for number in range(100):
                ask = msgspec.structs.replace(
                    _LONG_ASK, request_id=f"q{number}"
                )
                request = placement_request.PlacementRequest(
                    ask, (), forwarding_parts.create_peer("front-1")
                )
                reply = gateway.parts.coordinator.decide(request)
                named.add(reply.endpoint_id)
            self.assertNotIn("engine-0", named)
            self.assertIn("engine-1", named)

        virtual_loop.run(play())

    # One ask of a faulty gateway made the mean prompt, and with it the forecast
    # wait at all engines, endless.
    def test_sizes_beyond_the_memory_of_an_engine_are_limited(self):
        async def play():
            fleet = await _start()
            first, _ = fleet.coordinators
            gateway = fleet.gateways[first]
            ask = msgspec.structs.replace(
                _LONG_ASK,
                prompt_tokens=2**53,
                expected_tokens=10,
                objective_left_s=2.0**53,
                remaining_s=2.0**53,
            )
            request = placement_request.PlacementRequest(
                ask, (), forwarding_parts.create_peer("front-1")
            )
            reply = gateway.parts.coordinator.decide(request)
            self.assertIs(
                reply.verdict, placement_verdict.PlacementVerdict.PLACED
            )
            self.assertLess(
                gateway.ledger.mean_prompt_tokens,
                forwarding_parts.MEMORY_TOKENS,
            )

        virtual_loop.run(play())

    # A faulty gateway could name any number of shards; each was kept for 12 s,
    # compared with every engine, and forgot the waiting requests of others.
    def test_implausible_shards_are_not_coordinated(self):
        async def play():
            fleet = placement_fleet.Fleet(3, _ENGINES)
            await fleet.play(3.0, _REQUESTS_PER_S)
            first, _ = fleet.coordinators
            parts = fleet.gateways[first].parts
            recorded = {}
            for index, count in ((0, 1), (1, 1), (1, 2), (2, 900)):
                ask = msgspec.structs.replace(
                    _LONG_ASK, shard_index=index, shard_count=count
                )
                request = placement_request.PlacementRequest(
                    ask, (), forwarding_parts.create_peer("front-1")
                )
                parts.coordinator.decide(request)
                recorded[index, count] = parts.duties.has_shard(
                    shard.Shard(ask.service, index, count)
                )
            self.assertEqual(
                recorded,
                {(0, 1): True, (1, 1): False, (1, 2): True, (2, 900): False},
            )

        virtual_loop.run(play())

    # Guards against a change for deployments that do not call for it.
    def test_without_contract_and_pace_nothing_is_asked(self):
        async def play():
            fleet = await _start(is_coordinated=False)
            self.assertFalse(
                any(each.placements for each in fleet.gateways.values())
            )
            self.assertEqual(_local_choices(fleet), [])

        virtual_loop.run(play())

    def test_gateways_that_are_not_counted_choose_locally(self):
        async def play():
            fleet = placement_fleet.Fleet(3, 3)
            for gateway in fleet.gateways.values():
                gateway.is_known = False
            await fleet.play(2.0, 10.0)
            self.assertFalse(
                any(each.placements for each in fleet.gateways.values())
            )

        virtual_loop.run(play())

    def _lose(self, disturb):
        """Returns the 99th percentile after the loss, and the fleet."""

        async def play():
            fleet = await _start()
            first, second = fleet.coordinators
            disturb(fleet, first, second)
            placed_before = len(fleet.gateways[second].placements)
            quantile_s = await _measure(fleet)
            self.assertGreater(
                len(fleet.gateways[second].placements), placed_before
            )
            return quantile_s, _local_choices(fleet)

        return virtual_loop.run(play())

    # Guards against requests that wait for a coordinator that is gone.
    def test_fallback_takes_over_from_a_killed_coordinator(self):
        quantile_s, local = self._lose(
            lambda fleet, first, _: fleet.gateways[first].kill()
        )
        self.assertLess(quantile_s, 1.5)
        self.assertLess(len(local), 2 * _REQUESTS_PER_S)

    # Records of gateways that were killed stay in the store.
    def test_two_killed_gateways_do_not_end_the_coordination(self):
        async def play():
            fleet = await _start()
            for name in fleet.coordinators:
                fleet.gateways[name].kill()
            await fleet.play(4.0, _REQUESTS_PER_S)
            quantile_s = await _measure(fleet)
            # Each gateway has found out with few requests.
            self.assertLess(len(_local_choices(fleet)), 2 * _GATEWAYS)
            self.assertLess(quantile_s, 1.0)

        virtual_loop.run(play())

    def test_fallback_takes_over_from_a_frozen_coordinator(self):
        def freeze(fleet, first, _):
            fleet.gateways[first].is_frozen = True

        quantile_s, local = self._lose(freeze)
        self.assertLess(quantile_s, 1.5)
        self.assertLess(len(local), 2 * _REQUESTS_PER_S)

    def test_gateways_cut_off_from_the_coordinator_use_the_fallback(self):
        def cut(fleet, first, _):
            fleet.cut_links = {
                frozenset((first, name)) for name in fleet.names[::2]
            }

        quantile_s, _ = self._lose(cut)
        self.assertLess(quantile_s, 1.5)

    # Guards against a restarted coordinator that takes all engines for idle.
    def test_restarted_coordinator_polls_before_it_places(self):
        async def play():
            fleet = await _start()
            first, _ = fleet.coordinators
            fleet.gateways[first].kill()
            await fleet.play(1.0, _REQUESTS_PER_S)
            fleet.start(first)
            restarted = fleet.gateways[first]
            await fleet.play(4.0, _REQUESTS_PER_S)
            self.assertEqual(restarted.placements[0], "not-responsible")
            self.assertEqual(restarted.placements[-1], "placed")

        virtual_loop.run(play())

    # Each coordinator lacks the placements of the other, for example while a
    # partition of the store makes listings differ.
    def test_two_coordinators_are_not_worse_than_none(self):
        async def play(is_coordinated):
            fleet = await _start(is_coordinated)
            first, _ = fleet.coordinators
            for name in fleet.names[::2]:
                if name != first:
                    fleet.gateways[name].known_gateways = set(fleet.names) - {
                        first
                    }
            return await _measure(fleet)

        alone_s = virtual_loop.run(play(False))
        self.assertLess(virtual_loop.run(play(True)), alone_s)

    def test_unreachable_coordinators_leave_the_choice_to_gateways(self):
        async def play():
            fleet = await _start()
            for name in fleet.ranked:
                fleet.gateways[name].kill()
            before = fleet.poll_count
            await _measure(fleet)
            self.assertGreater(fleet.poll_count - before, _PLAY_S * _GATEWAYS)
            return _local_choices(fleet)

        self.assertIn(
            local_reason.LocalReason.NO_REPLY.value, virtual_loop.run(play())
        )

    # Guards against an engine that is lost to all once it was silent for a
    # moment, and against placements on it meanwhile.
    def test_silent_engine_is_avoided_until_it_responds(self):
        async def play():
            fleet = await _start()
            engine = fleet.engines["engine-0"]
            engine.is_silent = True
            await fleet.play(2.0, _REQUESTS_PER_S)
            avoided = engine.request_count
            await fleet.play(2.0, _REQUESTS_PER_S)
            self.assertEqual(engine.request_count, avoided)
            engine.is_silent = False
            await asyncio.sleep(1.0)
            await fleet.play(3.0, _REQUESTS_PER_S)
            self.assertGreater(engine.request_count, avoided)

        virtual_loop.run(play())


if __name__ == "__main__":
    unittest.main()
