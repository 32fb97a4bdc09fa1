"""Tests of one limit that many gateways keep together, without a network.

Callers ask for more than the limit allows, at gateways that start, restart,
lose contact with the store or can't reach each other.
"""

import asyncio
import random
import unittest

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import request_limits
from bronzeslip.quota import end_announcer
from bronzeslip.quota import endpoint_permits
from bronzeslip.quota import errors
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_coordinator
from tests.support import clock
from tests.support import forwarding_parts
from tests.support import lagging_store

_STEP_S = 0.05
_STORE_LAG_S = 2.0
# Gateways have full standing once all others have read their records.
_SETTLED_S = 16.0
_WINDOW_S = 4.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_REQUESTS = 5
# Calls between gateways for one endpoint.
_MAX_CALLS_PER_S = 60.0


class _Network:
    """Calls between gateways in one process.

    Attributes:
        gateways: Running gateways by VM id.
        cut_links: Pairs of gateways between which calls fail.
        call_count: Number of calls between gateways.
    """

    def __init__(self):
        self.gateways = {}
        self.cut_links = set()
        self.call_count = 0

    def client_of(self, vm_id):
        return _PeerClient(self, vm_id)


class _PeerClient:
    def __init__(self, network, vm_id):
        self._network = network
        self._vm_id = vm_id

    async def ask(self, target, request):
        self._network.call_count += 1
        gateway = self._network.gateways.get(target.vm_id)
        link = frozenset((self._vm_id, target.vm_id))
        if gateway is None or link in self._network.cut_links:
            raise errors.PeerUnavailableError("no reply")
        return gateway.coordinator.decide(request)


class _Gateway(lagging_store.RegisteredGateway):
    def __init__(self, store, vm_id, network, now):
        super().__init__(store, vm_id, now)
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.directory.request_limits = request_limits.RequestLimits(now)
        self.coordinator = permit_coordinator.PermitCoordinator(
            self.directory, self.registry, now
        )
        caller = peer_caller.PeerCaller(
            forwarding_parts.create_peer(vm_id),
            self.coordinator,
            network.client_of(vm_id),
            now,
        )
        self.permits = endpoint_permits.EndpointPermits(
            self.directory, self.registry, caller, now
        )
        end_announcer.EndAnnouncer(
            self.directory, self.registry, self.coordinator, caller, now
        ).start()


class LimitsOfManyGatewaysTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.rng = random.Random(11)
        self.arrivals_s = []
        self.delays_s = []
        self.reserved = 0.0

    async def _deploy(self, count, rate_per_s, requests_per_s):
        self.rate_per_s = rate_per_s
        self.requests_per_s = requests_per_s
        self.store = lagging_store.LaggingStore(self.clock, _STORE_LAG_S)
        self.network = _Network()
        self.endpoint = forwarding_parts.create_endpoint("i-1")
        self.names = [f"front-{number}" for number in range(count)]
        self.callers_of = self.names
        for name in self.names:
            self._start(name)
        await self._play(_SETTLED_S, requests_per_s=0)

    def _start(self, name):
        gateway = _Gateway(self.store, name, self.network, self.clock)
        gateway.directory.replace_all([self.endpoint])
        gateway.directory.request_limits.state(self.endpoint, self.rate_per_s)
        self.network.gateways[name] = gateway

    def _stop(self, name):
        return self.network.gateways.pop(name)

    async def _play(self, duration_s, requests_per_s=None):
        if requests_per_s is None:
            requests_per_s = self.requests_per_s
        end_s = self.clock() + duration_s
        while self.clock() < end_s:
            self.clock.advance(_STEP_S)
            for gateway in tuple(self.network.gateways.values()):
                await gateway.keep_registered()
            expected = requests_per_s * _STEP_S
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                await self._request()
            # Lets gateways announce the ends of limits.
            await asyncio.sleep(0)

    async def _request(self):
        name = self.rng.choice(self.callers_of)
        if name not in self.network.gateways:
            return
        gateway = self.network.gateways[name]
        delay_s = await gateway.permits.acquire(self.endpoint, self.reserved)
        if delay_s:
            self.delays_s.append(delay_s)
        else:
            self.arrivals_s.append(self.clock())

    def _assert_kept(self):
        """Checks every window by the words of the rule."""
        allowed = (
            _ALLOWED_FACTOR * self.rate_per_s * _WINDOW_S + _ALLOWED_REQUESTS
        )
        worst = max(
            sum(
                first_s <= time_s < first_s + _WINDOW_S
                for time_s in self.arrivals_s
            )
            for first_s in self.arrivals_s
        )
        self.assertLessEqual(worst, allowed)

    def _assert_used(self, from_s, min_share):
        """Checks which part of the limit was used from a time until now."""
        used = sum(time_s >= from_s for time_s in self.arrivals_s)
        allowed = self.rate_per_s * (self.clock() - from_s)
        self.assertGreaterEqual(used, min_share * allowed)

    def _coordinators(self):
        (gateway, *_) = self.network.gateways.values()
        ranked = gateway.registry.ranked(self.endpoint.endpoint_id)
        return [candidate.vm_id for candidate in ranked]

    async def test_limit_is_kept_and_used_by_fleets_of_any_size(self):
        for count, rate_per_s in ((1, 1.8), (5, 2.4), (68, 2.0), (380, 1.8)):
            with self.subTest(count):
                self.arrivals_s.clear()
                await self._deploy(count, rate_per_s, 10.0 + count)
                from_s = self.clock()
                await self._play(15.0)
                self._assert_kept()
                self._assert_used(from_s, 0.85)
                self.assertLess(
                    self.network.call_count, _MAX_CALLS_PER_S * 15.0
                )

    async def test_limit_is_used_by_requests_that_leave_permits(self):
        self.reserved = 1.0
        await self._deploy(5, 2.0, 40.0)
        from_s = self.clock()
        await self._play(30.0)
        self._assert_kept()
        self._assert_used(from_s, 0.8)

    async def test_limit_is_used_if_all_callers_are_at_one_gateway(self):
        await self._deploy(68, 2.0, 20.0)
        self.callers_of = self.names[7:8]
        from_s = self.clock()
        await self._play(20.0)
        self._assert_kept()
        self._assert_used(from_s, 0.85)

    async def test_limit_is_used_after_callers_move_to_one_gateway(self):
        await self._deploy(68, 2.0, 40.0)
        await self._play(20.0)
        self.callers_of = self.names[7:8]
        await self._play(10.0)
        from_s = self.clock()
        await self._play(10.0)
        self._assert_kept()
        self._assert_used(from_s, 0.85)

    async def test_limit_is_kept_while_gateways_start(self):
        await self._deploy(5, 2.0, 40.0)
        for number in range(5, 25):
            name = f"front-{number}"
            self.names.append(name)
            self._start(name)
            await self._play(0.7)
        await self._play(20.0)
        self._assert_kept()

    async def test_limit_is_kept_and_used_while_its_coordinator_restarts(self):
        await self._deploy(5, 2.0, 40.0)
        coordinator, _ = self._coordinators()
        await self._play(10.0)
        from_s = self.clock()
        self._stop(coordinator)
        await self._play(1.5)
        self._start(coordinator)
        await self._play(20.0)
        self._assert_kept()
        self._assert_used(from_s, 0.4)

    async def test_limit_is_used_after_all_gateways_were_killed(self):
        await self._deploy(5, 2.0, 40.0)
        await self._play(10.0)
        for name in self.names:
            self._stop(name)
            self._start(name)
        await self._play(5.0)
        from_s = self.clock()
        await self._play(20.0)
        self._assert_kept()
        self._assert_used(from_s, 0.4)

    async def test_coordinator_that_is_gone_is_replaced(self):
        await self._deploy(5, 2.0, 40.0)
        coordinator, _ = self._coordinators()
        await self._play(5.0)
        await self._stop(coordinator).registry.deregister()
        await self._play(20.0)
        from_s = self.clock()
        await self._play(20.0)
        self._assert_kept()
        self._assert_used(from_s, 0.85)

    async def test_limit_is_kept_and_used_while_the_store_is_away(self):
        await self._deploy(68, 2.0, 40.0)
        self.store.unreachable_from.update(self.names)
        from_s = self.clock()
        await self._play(60.0)
        self._assert_kept()
        self._assert_used(from_s, 0.4)

    async def test_limit_is_kept_if_the_coordinator_misses_its_successor(self):
        await self._deploy(5, 2.0, 40.0)
        coordinator, _ = self._coordinators()
        self.store.unreachable_from.add(coordinator)
        for number in range(5, 15):
            self.names.append(f"front-{number}")
            self._start(self.names[-1])
        await self._play(60.0)
        self._assert_kept()

    async def test_limit_is_kept_if_some_do_not_reach_the_coordinator(self):
        await self._deploy(6, 10.0, 80.0)
        coordinator, _ = self._coordinators()
        self.network.cut_links = {
            frozenset((coordinator, name)) for name in self.names[:3]
        }
        from_s = self.clock()
        await self._play(20.0)
        self._assert_kept()
        self._assert_used(from_s, 0.85)

    async def test_nothing_is_sent_without_a_coordinator(self):
        await self._deploy(5, 2.0, 40.0)
        first, second = self._coordinators()
        self._stop(first)
        self._stop(second)
        await self._play(10.0)
        self.assertEqual(self.arrivals_s, [])

    async def test_gateway_alone_in_its_first_moments_sends_nothing(self):
        await self._deploy(1, 2.0, 40.0)
        self.arrivals_s.clear()
        self.store = lagging_store.LaggingStore(self.clock, _STORE_LAG_S)
        self._start("front-0")
        await self._play(3.0)
        self.assertEqual(self.arrivals_s, [])

    async def test_permit_is_left_for_a_resumption(self):
        self.reserved = 1.0
        await self._deploy(5, 2.0, 40.0)
        await self._play(10.0)
        gateway = self.network.gateways["front-0"]
        self.assertEqual(await gateway.permits.acquire(self.endpoint), 0.0)

    async def test_caller_that_returns_in_time_is_served(self):
        await self._deploy(5, 2.0, 0.0)
        gateway = self.network.gateways["front-0"]
        while not await gateway.permits.acquire(self.endpoint):
            pass
        delay_s = await gateway.permits.acquire(self.endpoint)
        self.clock.advance(delay_s)
        self.assertEqual(await gateway.permits.acquire(self.endpoint), 0.0)

    async def test_end_of_a_limit_reaches_the_other_gateways(self):
        await self._deploy(68, 0.5, 40.0)
        await self._play(5.0)
        self.network.gateways["front-7"].directory.request_limits.end(
            self.endpoint, self.clock()
        )
        await self._play(2 * _STEP_S)
        self.delays_s.clear()
        await self._play(5.0)
        self.assertEqual(self.delays_s, [])

    async def test_limit_that_allows_nothing_is_tried_now_and_then(self):
        await self._deploy(5, 0.0, 40.0)
        await self._play(40.0)
        self._assert_kept()
        self.assertGreater(len(self.arrivals_s), 1)


if __name__ == "__main__":
    unittest.main()
