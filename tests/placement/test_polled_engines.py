"""Tests of the engines that gateways poll and of their connections to them."""

import asyncio
import unittest

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.forwarding import connection_share
from bronzeslip.placement import coordination_duties
from bronzeslip.placement import shard
from tests.support import clock
from tests.support import forwarding_parts
from tests.support import placement_fleet
from tests.support import virtual_loop

_SHARD = shard.Shard(forwarding_parts.ENGINE_SERVICE.name, 0, 1)


class PolledEnginesTest(unittest.TestCase):
    def test_coordinator_polls_while_it_is_asked_and_some_time_after(self):
        now = clock.ManualClock()
        duties = coordination_duties.CoordinationDuties(now)
        begun = []
        duties.add_begun_listener(lambda: begun.append(now()))
        engine = forwarding_parts.create_endpoint("one")
        other = forwarding_parts.create_endpoint("two", service_name="other")
        self.assertFalse(duties.includes(engine))
        for _ in range(3):
            duties.record_asked(_SHARD)
            now.advance(1.0)
        self.assertEqual(len(begun), 1)
        self.assertTrue(duties.is_active(engine))
        self.assertFalse(duties.includes(other))
        now.advance(5.0)
        self.assertFalse(duties.is_active(engine))
        self.assertTrue(duties.includes(engine))
        now.advance(10.0)
        self.assertFalse(duties.includes(engine))

    # Guards against gateways that poll all engines though nobody asks.
    def test_idle_fleet_stops_to_poll(self):
        async def play():
            fleet = placement_fleet.Fleet(5, 10)
            # Every gateway has asked once.
            await fleet.play(5.0, 20.0)
            await asyncio.sleep(20.0)
            before = fleet.poll_count
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.poll_count, before)

        virtual_loop.run(play())

    # An engine that a gateway found silent stayed unusable for it for good, as
    # nothing polled it again.
    def test_engine_is_usable_again_once_its_long_run_has_ended(self):
        async def play():
            fleet = placement_fleet.Fleet(3, 10)
            await fleet.play(5.0, 20.0)
            await asyncio.sleep(20.0)
            gateway = next(iter(fleet.gateways.values()))
            engine = fleet.engines["engine-0"]
            engine.is_silent = True
            with gateway.in_flight.track("engine-0", is_long=True):
                await asyncio.sleep(5.0)
                self.assertFalse(gateway.directory.is_usable(engine.endpoint))
            await asyncio.sleep(1.0)
            self.assertTrue(gateway.directory.is_usable(engine.endpoint))

        virtual_loop.run(play())


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    # Guards against placements that exceed an endpoint's connections together.
    async def test_placements_share_the_connections_among_all_gateways(self):
        service = forwarding_parts.ENGINE_SERVICE
        gateways = forwarding_parts.create_single_gateway()
        gateways.count = 10
        endpoints = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        endpoints.replace_all(
            forwarding_parts.create_endpoint(f"i-{number}")
            for number in range(20)
        )
        in_flight = in_flight_requests.InFlightRequests()
        share = connection_share.ConnectionShare(
            forwarding_parts.SETTINGS, endpoints, in_flight, gateways
        )
        limit = share.limit(service, is_coordinated=True)
        self.assertEqual(limit, service.max_connections // 10 - 2)
        self.assertLess(limit, share.limit(service))
        with in_flight.track("i-0"):
            self.assertEqual(share.exhausted_endpoints(service), frozenset())
            gateways.count = 100
            self.assertEqual(share.exhausted_endpoints(service), {"i-0"})


if __name__ == "__main__":
    unittest.main()
