"""Tests of the limit of a cold endpoint that many gateways keep together."""

import random
import unittest

import msgspec

from bronzeslip.places import cold_limits
from bronzeslip.places import cold_shares
from bronzeslip.quota import cold_permits
from bronzeslip.quota import peer_caller
from bronzeslip.quota import permit_coordinator
from bronzeslip.routes import kind
from tests.quota import test_limits_of_many_gateways
from tests.support import clock
from tests.support import forwarding_parts
from tests.support import lagging_store

_STEP_S = 0.02
_SETTLED_S = 17.0
_OVER = 1.5
_SLACK = 5.0


class _Gateway(lagging_store.RegisteredGateway):
    def __init__(self, store, vm_id, network, now, bounds):
        super().__init__(store, vm_id, now)
        self.directory = (
            test_limits_of_many_gateways.directory.EndpointDirectory(
                forwarding_parts.SETTINGS
            )
        )
        self.cold = self.directory.cold_endpoints
        self.cold._clock = now
        shares = cold_shares.ColdShares(bounds, self.registry)
        self.coordinator = permit_coordinator.PermitCoordinator(
            self.directory, self.registry, now, shares.permits_per_s
        )
        caller = peer_caller.PeerCaller(
            forwarding_parts.create_peer(vm_id),
            self.coordinator,
            network.client_of(vm_id),
            now,
        )
        self.limits = cold_limits.ColdLimits(
            self.cold,
            shares,
            cold_permits.ColdPermits(self.registry, caller, now),
            now,
        )


class ColdEndpointsOfManyGatewaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = clock.ManualClock()
        self.rng = random.Random(7)
        self.sent_s = []
        self.bounds = msgspec.structs.replace(
            forwarding_parts.VM_CONFIG.bounds,
            cold_over=_OVER,
            cold_slack=_SLACK,
        )

    async def _deploy(self, count, cold_per_s):
        self.service = msgspec.structs.replace(
            forwarding_parts.CALL_SERVICE, cold_s=1.0, cold_per_s=cold_per_s
        )
        self.request = self._create_request(0)
        self.store = lagging_store.LaggingStore(self.clock, 2.0)
        self.network = test_limits_of_many_gateways._Network()
        self.endpoint = forwarding_parts.create_endpoint("i-1")
        for number in range(count):
            self._start(f"front-{number}")

    def _create_request(self, priority):
        return msgspec.structs.replace(
            forwarding_parts.admit(
                forwarding_parts.create_request(),
                kind.RequestKind.AT_MOST_ONCE,
                self.service,
            ),
            priority=priority,
        )

    def _start(self, name):
        gateway = _Gateway(
            self.store, name, self.network, self.clock, self.bounds
        )
        gateway.directory.replace_all([self.endpoint])
        gateway.cold.replace_all([(self.endpoint, 1)])
        self.network.gateways[name] = gateway

    async def _play(self, duration_s, requests_per_s, names=None):
        end_s = self.clock() + duration_s
        while self.clock() < end_s:
            self.clock.advance(_STEP_S)
            gateways = tuple(self.network.gateways.values())
            for gateway in gateways:
                await gateway.keep_registered()
                # The endpoint stays cold.
                gateway.cold.state(self.endpoint, 1.0)
            expected = requests_per_s * _STEP_S
            for _ in range(int(expected + self.rng.random())):
                await self._send(self.rng.choice(names or list(gateways)))

    async def _send(self, gateway):
        delay_s = await gateway.limits.acquire(self.endpoint, self.request)
        if not delay_s:
            self.sent_s.append(self.clock())

    def _worst(self):
        return max(
            (
                sum(first_s <= time_s < first_s + 1.0 for time_s in self.sent_s)
                for first_s in self.sent_s
            ),
            default=0,
        )

    async def test_limit_is_kept_and_used_by_fleets_of_any_size(self):
        for count, cold_per_s in (
            (1, 29.0),
            (22, 29.0),
            (29, 37.0),
            (46, 29.0),
        ):
            with self.subTest(gateways=count, cold_per_s=cold_per_s):
                self.sent_s.clear()
                await self._deploy(count, cold_per_s)
                await self._play(_SETTLED_S, 0)
                await self._play(6.0, 400.0)
                self.assertLessEqual(self._worst(), cold_per_s * _OVER + _SLACK)
                self.assertGreater(len(self.sent_s), 0.5 * cold_per_s * 6.0)

    async def test_two_gateways_send_their_shares_without_messages(self):
        await self._deploy(2, 29.0)
        await self._play(_SETTLED_S, 0)
        await self._play(5.0, 200.0)
        self.assertLessEqual(self._worst(), 29)
        self.assertEqual(self.network.call_count, 0)

    # Guards against a burst of requests to a cold engine after a deployment.
    async def test_limit_is_kept_while_all_gateways_start(self):
        await self._deploy(22, 29.0)
        await self._play(_SETTLED_S + 5.0, 200.0)
        self.assertLessEqual(self._worst(), 29.0 * _OVER + _SLACK)

    async def test_limit_is_kept_while_gateways_restart_and_join(self):
        await self._deploy(22, 29.0)
        await self._play(_SETTLED_S, 0)
        for number in (3, 4, 30, 31):
            self._start(f"front-{number}")
            await self._play(4.0, 400.0)
        await self._play(_SETTLED_S, 400.0)
        self.assertLessEqual(self._worst(), 29.0 * _OVER + _SLACK)

    async def test_limit_without_a_stated_bound_is_that_of_the_service(self):
        self.bounds = forwarding_parts.VM_CONFIG.bounds
        for count in (22, 46):
            with self.subTest(gateways=count):
                self.sent_s.clear()
                await self._deploy(count, 29.0)
                await self._play(_SETTLED_S + 5.0, 400.0)
                self.assertLessEqual(self._worst(), 29.0)
                self.assertGreater(len(self.sent_s), 0)

    async def test_nothing_is_sent_without_a_reply_of_a_coordinator(self):
        await self._deploy(46, 29.0)
        await self._play(_SETTLED_S, 0)
        (first, *_) = self.network.gateways.values()
        ranked = [
            coordinator.vm_id
            for coordinator in first.registry.ranked(self.endpoint.endpoint_id)
        ]
        name = next(
            name for name in self.network.gateways if name not in ranked
        )
        for coordinator in ranked:
            self.network.cut_links.add(frozenset((name, coordinator)))
        gateway = self.network.gateways[name]
        await self._play(3.0, 100.0, [gateway])
        self.assertEqual(self.sent_s, [])

    async def test_less_urgent_requests_leave_a_fifth_of_a_share(self):
        await self._deploy(2, 29.0)
        await self._play(_SETTLED_S, 0)
        gateway = self.network.gateways["front-0"]
        self.request = self._create_request(1)
        await self._play(1.0, 400.0, [gateway])
        self.assertEqual(len(self.sent_s), 14 - 2)
        self.assertGreater(gateway.limits.delay_s("i-1", self.request), 0.0)
        self.request = self._create_request(0)
        self.assertEqual(gateway.limits.delay_s("i-1", self.request), 0.0)


if __name__ == "__main__":
    unittest.main()
